import { listBeside } from '../../../tools/soak/listBeside.js';
import { epochWall } from './epochWall.js';
import type { FakeRun } from './FakeRun.js';
import { findStep } from './findStep.js';
import type { Office } from './Office.js';

// A start may come this much before its time.
const earlyMs = 250;
const maxAttempts = 3;

type Origin = NonNullable<ReturnType<typeof findStep>>;
type Check = (office: Office, run: FakeRun, origin: Origin) => boolean;

const isStepDone = (office: Office, run: FakeRun, origin: Origin, stepIndex: number): boolean => {
  const { id, definition } = origin.submission;
  const step = definition.steps[stepIndex]!;
  const isDone = (index: number): boolean =>
    office.runs.some(
      ({ task, kind, endedAt }) =>
        task === `${id}.${origin.occurrence}.${stepIndex}.${index}` &&
        kind === 'done' &&
        endedAt! <= run.startedAt,
    );
  const indexes = Array.from({ length: step.count }, (_, index) => index);
  return step.gang ? indexes.some(isDone) : indexes.every(isDone);
};

const listSiblings = (office: Office, run: FakeRun): FakeRun[] => {
  const step = run.task.slice(0, run.task.lastIndexOf('.') + 1);
  return office.runs.filter(({ task }) => task.startsWith(step));
};

/** Failures of the task, or of its gang, that were taken note of; each run of a gang counts once. */
const countFailures = (office: Office, run: FakeRun, { step }: Origin): number => {
  const runs = step.gang
    ? listSiblings(office, run)
    : office.runs.filter(({ task }) => task === run.task);
  const failed = runs.filter(
    ({ kind, noted, lapsedSince, endedAt }) =>
      kind === 'failed' && noted && !lapsedSince && endedAt! < run.startedAt,
  );
  return new Set(failed.map(({ run: number }) => number)).size;
};

/** Whether a start breaks a rule, by what the rule is called in the message. */
const checks: Record<string, Check> = {
  'before the steps that it waits for': (office, run, origin) =>
    origin.step.after.some((index) => !isStepDone(office, run, origin, index)),
  'before its time': (_office, run, { submission, occurrence }) => {
    const { schedule } = submission.definition;
    if (!schedule) return false;
    const dueAt = schedule.startAt + occurrence * schedule.intervalMs;
    return run.startedAt + epochWall < dueAt - earlyMs;
  },
  'after its last attempt': (office, run, origin) =>
    !origin.step.longRunning && countFailures(office, run, origin) >= maxAttempts,
  'beside too many of its step': (office, run, { step }) =>
    step.maxPerWorker > 0 && listBeside(listSiblings(office, run), run).length > step.maxPerWorker,
  'on a worker without its label': (office, run, { step }) =>
    step.requiredLabel !== '' &&
    !office.workers.get(run.workerId)!.entry.labels.includes(step.requiredLabel),
  'with the progress of another task': (_office, run) =>
    run.checkpoint !== '' && !run.checkpoint.startsWith(`${run.task}@`),
};

/** Checks each start against what its job asked for; empty when all were right. */
export const findBrokenJobs = (office: Office): string[] =>
  office.runs.flatMap((run) => {
    const origin = findStep(office, run.task);
    if (!origin) return [`${run.task} was never sent`];
    return Object.entries(checks)
      .filter(([, isBroken]) => isBroken(office, run, origin))
      .map(([name]) => `${run.task} starts ${name}: ${run.workerId}/${run.run}`);
  });
