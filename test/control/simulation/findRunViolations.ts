import { isCompletionFinal } from '../../../tools/soak/isCompletionFinal.js';
import { listConcurrentRuns } from '../../../tools/soak/listConcurrentRuns.js';
import type { FakeRun } from './FakeRun.js';
import { findTaskOrigin } from './findTaskOrigin.js';
import type { FakePlatform } from './FakePlatform.js';

const isOverlapping = (a: FakeRun, b: FakeRun): boolean =>
  a.startedAt < (b.endedAt ?? Number.POSITIVE_INFINITY) &&
  b.startedAt < (a.endedAt ?? Number.POSITIVE_INFINITY);

const findOverlappingRuns = (runs: readonly FakeRun[]): string[] =>
  runs.flatMap((run, index) =>
    runs
      .slice(index + 1)
      .filter((other) => isOverlapping(run, other))
      .map(
        (other) =>
          `${run.task} runs twice: ${run.workerId}/${run.run}, ${other.workerId}/${other.run}`,
      ),
  );

const findRestartsAfterCompletion = (platform: FakePlatform, runs: readonly FakeRun[]): string[] =>
  runs
    // A long-running task is restarted however it ends.
    .filter(({ task }) => findTaskOrigin(platform, task)?.step.longRunning !== true)
    .filter((run) =>
      runs.some((other) => isCompletionFinal(other) && other.endedAt! < run.startedAt),
    )
    .map((run) => `${run.task} starts after it was done: ${run.workerId}/${run.run}`);

const getTaskGpu = (platform: FakePlatform, task: string): number =>
  findTaskOrigin(platform, task)?.step.need.gpu ?? 0;

const findOverloadedWorkers = (platform: FakePlatform): string[] =>
  platform.runs.flatMap((run) => {
    const concurrentRuns = listConcurrentRuns(platform.runs, run);
    const capacity = platform.workers.get(run.workerId)!.entry.capacity.gpu;
    const used = concurrentRuns.reduce((sum, { task }) => sum + getTaskGpu(platform, task), 0);
    return used > capacity
      ? [`${run.workerId} is overcommitted: ${used} of ${capacity} accelerators`]
      : [];
  });

/** Finds overlapping runs of a task, runs after a final completion, and overcommitted workers. */
export const findRunViolations = (platform: FakePlatform): string[] => {
  const byTask = new Map<string, FakeRun[]>();
  platform.runs.forEach((run) => byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]));
  return [
    ...[...byTask.values()].flatMap((runs) => [
      ...findOverlappingRuns(runs),
      ...findRestartsAfterCompletion(platform, runs),
    ]),
    ...findOverloadedWorkers(platform),
  ];
};
