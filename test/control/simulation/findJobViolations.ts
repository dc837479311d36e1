import { listConcurrentRuns } from '../../../tools/soak/listConcurrentRuns.js';
import { simulationStartMs } from './simulationStartMs.js';
import type { FakeRun } from './FakeRun.js';
import { findTaskOrigin } from './findTaskOrigin.js';
import type { FakePlatform } from './FakePlatform.js';

// A scheduled task may start this much early.
const maxEarlyStartMs = 250;
// Same as in `publishConfig`.
const maxAttempts = 3;

type Origin = NonNullable<ReturnType<typeof findTaskOrigin>>;
type StartRule = (platform: FakePlatform, run: FakeRun, origin: Origin) => boolean;

const isStepDone = (
  platform: FakePlatform,
  run: FakeRun,
  origin: Origin,
  stepIndex: number,
): boolean => {
  const { id, definition } = origin.submission;
  const step = definition.steps[stepIndex]!;
  const isDone = (index: number): boolean =>
    platform.runs.some(
      ({ task, kind, endedAt }) =>
        task === `${id}.${origin.occurrence}.${stepIndex}.${index}` &&
        kind === 'done' &&
        endedAt! <= run.startedAt,
    );
  const indexes = Array.from({ length: step.count }, (_, index) => index);
  return step.gang ? indexes.some(isDone) : indexes.every(isDone);
};

/** Gets the beginning of the names of all tasks of a task's step. */
const getStepPrefix = (task: string): string => task.slice(0, task.lastIndexOf('.') + 1);

const listSiblings = (platform: FakePlatform, run: FakeRun): FakeRun[] => {
  const step = getStepPrefix(run.task);
  return platform.runs.filter(({ task }) => task.startsWith(step));
};

/** Counts the acknowledged failures of the task or of its gang; each gang run counts once. */
const countFailures = (platform: FakePlatform, run: FakeRun, { step }: Origin): number => {
  const runs = step.gang
    ? listSiblings(platform, run)
    : platform.runs.filter(({ task }) => task === run.task);
  const failed = runs.filter(
    ({ kind, noted, lapsedSince, endedAt }) =>
      kind === 'failed' && noted && !lapsedSince && endedAt! < run.startedAt,
  );
  return new Set(failed.map(({ run: number }) => number)).size;
};

/** Rules for starts, which return whether a start violates them; the name describes the violation. */
const startRules: Record<string, StartRule> = {
  'before the steps that it depends on are done': (platform, run, origin) =>
    origin.step.after.some((index) => !isStepDone(platform, run, origin, index)),
  'before its scheduled time': (_platform, run, { submission, occurrence }) => {
    const { schedule } = submission.definition;
    if (!schedule) return false;
    const dueAt = schedule.startAt + occurrence * schedule.intervalMs;
    return run.startedAt + simulationStartMs < dueAt - maxEarlyStartMs;
  },
  'after its last attempt': (platform, run, origin) =>
    !origin.step.longRunning && countFailures(platform, run, origin) >= maxAttempts,
  'beyond the limit of its step per worker': (platform, run, { step }) =>
    step.maxPerWorker > 0 &&
    listConcurrentRuns(listSiblings(platform, run), run).length > step.maxPerWorker,
  'on a worker without the required label': (platform, run, { step }) =>
    step.requiredLabel !== '' &&
    !platform.workers.get(run.workerId)!.entry.labels.includes(step.requiredLabel),
  'from a checkpoint of another task': (_platform, run, { step }) =>
    run.checkpoint !== '' && !step.gang && !run.checkpoint.startsWith(`${run.task}@`),
  // The checkpoint of any member is valid for its gang, and all members resume from the same one.
  'from a checkpoint of another gang': (platform, run, { step }) =>
    run.checkpoint !== '' &&
    step.gang &&
    (!run.checkpoint.startsWith(getStepPrefix(run.task)) ||
      listSiblings(platform, run).some(
        (other) => other.run === run.run && other.checkpoint !== run.checkpoint,
      )),
};

/** Finds starts that violate the definition of their job. */
export const findJobViolations = (platform: FakePlatform): string[] =>
  platform.runs.flatMap((run) => {
    const origin = findTaskOrigin(platform, run.task);
    if (!origin) return [`${run.task} belongs to no submitted job`];
    return Object.entries(startRules)
      .filter(([, isViolated]) => isViolated(platform, run, origin))
      .map(([name]) => `${run.task} starts ${name}: ${run.workerId}/${run.run}`);
  });
