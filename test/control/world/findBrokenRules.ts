import { isBinding } from '../../../tools/soak/isBinding.js';
import { listBeside } from '../../../tools/soak/listBeside.js';
import type { FakeRun } from './FakeRun.js';
import { findStep } from './findStep.js';
import type { Office } from './Office.js';

const isOverlapping = (a: FakeRun, b: FakeRun): boolean =>
  a.startedAt < (b.endedAt ?? Number.POSITIVE_INFINITY) &&
  b.startedAt < (a.endedAt ?? Number.POSITIVE_INFINITY);

const findTwice = (runs: readonly FakeRun[]): string[] =>
  runs.flatMap((run, index) =>
    runs
      .slice(index + 1)
      .filter((other) => isOverlapping(run, other))
      .map(
        (other) =>
          `${run.task} runs twice: ${run.workerId}/${run.run}, ${other.workerId}/${other.run}`,
      ),
  );

const findAfterDone = (office: Office, runs: readonly FakeRun[]): string[] =>
  runs
    // A task that lasts is started again however it ends.
    .filter(({ task }) => findStep(office, task)?.step.longRunning !== true)
    .filter((run) => runs.some((other) => isBinding(other) && other.endedAt! < run.startedAt))
    .map((run) => `${run.task} starts after it was done: ${run.workerId}/${run.run}`);

const findGpu = (office: Office, task: string): number =>
  findStep(office, task)?.step.need.gpu ?? 0;

const findOverfull = (office: Office): string[] =>
  office.runs.flatMap((run) => {
    const together = listBeside(office.runs, run);
    const capacity = office.workers.get(run.workerId)!.entry.capacity.gpu;
    const used = together.reduce((sum, { task }) => sum + findGpu(office, task), 0);
    return used > capacity ? [`${run.workerId} is overfull: ${used} of ${capacity}`] : [];
  });

/** Checks what the workers saw against the promises; empty when all were kept. */
export const findBrokenRules = (office: Office): string[] => {
  const byTask = new Map<string, FakeRun[]>();
  office.runs.forEach((run) => byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]));
  return [
    ...[...byTask.values()].flatMap((runs) => [...findTwice(runs), ...findAfterDone(office, runs)]),
    ...findOverfull(office),
  ];
};
