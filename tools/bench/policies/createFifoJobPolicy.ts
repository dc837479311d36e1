import type { GeneratedJob } from '../jobs/GeneratedJob.js';
import type { JobPolicy } from '../jobs/JobPolicy.js';
import type { JobTimes } from '../jobs/JobTimes.js';
import { zoneSize } from '../jobs/zoneSize.js';

// As in the scheduler, the end of a task is noticed at the next lease renewal of its worker.
const renewIntervalMs = 1000;

const placeFirstFit = (freeByWorker: number[], { spec }: GeneratedJob): number[] | null => {
  const remaining = [...freeByWorker];
  const workerIndexes: number[] = [];
  const neededOnOneWorker = spec.adjacency === 'worker' ? spec.tasks * spec.acceleratorsPerTask : 0;
  for (let part = 0; part < spec.tasks; part += 1) {
    const isFitting = (count: number, index: number): boolean =>
      count >= spec.acceleratorsPerTask &&
      (neededOnOneWorker === 0 || freeByWorker[index]! >= neededOnOneWorker);
    const index = remaining.findIndex(isFitting);
    if (index < 0) return null;
    remaining[index]! -= spec.acceleratorsPerTask;
    workerIndexes.push(index);
  }
  return workerIndexes;
};

/** Creates a FIFO policy without backfill: the oldest job starts on the first workers that fit. */
export const createFifoJobPolicy = (): JobPolicy => {
  const freeByWorker = new Array<number>(zoneSize.workers).fill(zoneSize.acceleratorsPerWorker);
  const times = new Map<string, JobTimes>();
  const queue: GeneratedJob[] = [];
  let running: { job: GeneratedJob; workerIndexes: number[]; endAt: number }[] = [];
  const startJobs = (at: number): void => {
    for (let job = queue[0]; job; [job] = queue) {
      const workerIndexes = placeFirstFit(freeByWorker, job);
      if (!workerIndexes) return;
      queue.shift();
      const { acceleratorsPerTask } = job.spec;
      workerIndexes.forEach((index) => {
        freeByWorker[index]! -= acceleratorsPerTask;
      });
      times.get(job.id)!.startAt = at;
      const endAt = Math.ceil((at + job.runMs) / renewIntervalMs) * renewIntervalMs;
      running.push({ job, workerIndexes, endAt });
    }
  };
  return {
    submit: (job, at) => {
      times.set(job.id, { startAt: null, endAt: null });
      queue.push(job);
      startJobs(at);
    },
    tick: (at) => {
      running
        .filter(({ endAt }) => at >= endAt)
        .forEach(({ job, workerIndexes }) => {
          workerIndexes.forEach((index) => {
            freeByWorker[index]! += job.spec.acceleratorsPerTask;
          });
          times.get(job.id)!.endAt = at;
        });
      running = running.filter(({ endAt }) => at < endAt);
      startJobs(at);
    },
    getTimes: ({ id }) => times.get(id)!,
    listFreeAccelerators: () => [...freeByWorker],
  };
};
