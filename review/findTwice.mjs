/**
 * Finds what the rule TWICE names, for tasks of steps without `speculative`: two runs of a task at the same time
 * on workers that are up, and a start after an end `done` that was taken note of then or later, without a lapse of
 * the worker's lease between the two.
 */
const findTwice = (workers) => {
  const starts = workers.flatMap((worker) => worker.starts);
  const ends = workers.flatMap((worker) =>
    worker.ends.map((end) => ({ ...end, worker: worker.id })),
  );
  const findEnd = ({ task, run }) => ends.find((end) => end.task === task && end.run === run);
  const doneByTask = new Map();
  ends
    .filter(({ how, notedAt, lapsed }) => how === 'done' && notedAt !== null && !lapsed)
    .forEach((end) => doneByTask.set(end.task, [...(doneByTask.get(end.task) ?? []), end]));
  const startsByTask = new Map();
  starts.forEach((start) =>
    startsByTask.set(start.task, [...(startsByTask.get(start.task) ?? []), start]),
  );
  const broken = [];
  startsByTask.forEach((taskStarts, task) => {
    taskStarts.forEach((start) => {
      const done = (doneByTask.get(task) ?? []).find((end) => end.endedAt < start.startedAt);
      if (done) {
        const after = Math.round(start.startedAt - done.endedAt);
        broken.push(
          `TWICE ${task}: run ${start.run} started on ${start.worker} ${after} ms after run ${done.run} had ended as done on ${done.worker}, and that end was taken note of`,
        );
      }
      const other = taskStarts.find((earlier) => {
        if (earlier.run >= start.run || earlier.startedAt >= start.startedAt) return false;
        const end = findEnd(earlier);
        return !end || end.endedAt > start.startedAt;
      });
      if (other && other.worker !== start.worker) {
        broken.push(`TWICE ${task}: runs ${other.run} and ${start.run} at the same time`);
      }
    });
  });
  return broken;
};

export default findTwice;
