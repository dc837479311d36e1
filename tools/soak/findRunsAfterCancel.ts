import type { FaultSpan } from './FaultSpan.js';
import type { JournalRun } from './JournalRun.js';
import type { SoakFindings } from './SoakFindings.js';
import type { SubmittedJob } from './SubmittedJob.js';

// Bounds of the platform's rules.
const cancelMs = 3000;
const stopTimeoutMs = 200;
const contactMs = 3000;
// An order that was held up at a worker is carried out at once when the fault is over.
const heldOrderMs = 1000;

const jobIdDigits = 16;

interface CancelObservation {
  jobs: ReadonlyMap<string, SubmittedJob>;
  runs: readonly JournalRun[];
  faults: readonly FaultSpan[];
  /** VM that held each fencing token. */
  leaders: ReadonlyMap<number, string>;
  /** Monotonic time of the observation. */
  now: number;
}

interface CancelledRun {
  run: JournalRun;
  acknowledgedAt: number;
  vmId: string;
}

const isNear = (fault: FaultSpan, at: number, afterMs: number): boolean =>
  fault.startedAt <= at && (fault.endedAt ?? Number.POSITIVE_INFINITY) + afterMs >= at;

/**
 * Whether a fault excuses a start at a time, by its scope:
 * vm: "its processes ran, with no kill, start by the bench, SIGTERM, freeze" for the whole `contact_ms` before;
 * path: "it had a path in both directions to the platform" (a cut link to the store, not a delay of 150 ms);
 * store: "the core was stable", which it is "while it has been without disruption for `contact_ms`";
 * orders: "those with a time bound not for orders that a worker carried out late" (a worker that was suspended, or
 * whose link held the order back).
 */
const excuses: Record<FaultSpan['scope'], (fault: FaultSpan, cancelled: CancelledRun) => boolean> =
  {
    vm: (fault, { run, vmId }) =>
      fault.targetId === vmId && isNear(fault, run.startedAt, contactMs),
    path: (fault, { run, vmId }) =>
      fault.targetId === vmId && isNear(fault, run.startedAt, contactMs),
    store: (fault, { run }) => isNear(fault, run.startedAt, contactMs),
    orders: (fault, { run }) =>
      fault.targetId === run.workerId && isNear(fault, run.startedAt, heldOrderMs),
    other: () => false,
    none: () => false,
  };

const listCancelledRuns = ({ jobs, runs, leaders }: CancelObservation): CancelledRun[] =>
  runs.flatMap((run) => {
    const answer = jobs.get(run.task.slice(0, jobIdDigits))?.cancelAnswer;
    if (!answer) return [];
    return [{ run, acknowledgedAt: answer.at, vmId: leaders.get(run.token) ?? 'unknown' }];
  });

/** Measures the longest time within a span in which no fault was in progress or had just ended. */
const measureCalmMs = (faults: readonly FaultSpan[], from: number, to: number): number => {
  const disruptions = faults
    .filter(({ scope }) => scope !== 'none')
    .map(({ startedAt, endedAt }) => ({
      startedAt,
      endedAt: (endedAt ?? Number.POSITIVE_INFINITY) + contactMs,
    }))
    .sort((left, right) => left.startedAt - right.startedAt);
  let calmSince = from;
  let longestMs = 0;
  disruptions.forEach(({ startedAt, endedAt }) => {
    longestMs = Math.max(longestMs, Math.min(startedAt, to) - calmSince);
    calmSince = Math.max(calmSince, endedAt);
  });
  return Math.max(longestMs, to - calmSince);
};

const isLateStart = ({ run, acknowledgedAt }: CancelledRun): boolean =>
  run.startedAt > acknowledgedAt + cancelMs;

const measureCalmRunMs = (
  { run, acknowledgedAt }: CancelledRun,
  { faults, now }: CancelObservation,
): number => {
  // A run that began after the acknowledgement counts from `contact_ms` after its start.
  const from = run.startedAt > acknowledgedAt ? run.startedAt + contactMs : acknowledgedAt;
  return measureCalmMs(faults, from, run.endedAt ?? now);
};

const describeRun = ({ run, acknowledgedAt, vmId }: CancelledRun): string =>
  `(token ${run.token} of ${vmId}, cancel acknowledged at ${Math.round(acknowledgedAt)}) ${JSON.stringify(run)}`;

/** Finds runs that started or went on after the cancellation of their job was acknowledged (UNASKED). */
export const findRunsAfterCancel = (observation: CancelObservation): SoakFindings => {
  const cancelledRuns = listCancelledRuns(observation);
  const findExcuse = (cancelled: CancelledRun): FaultSpan | undefined =>
    observation.faults.find((fault) => excuses[fault.scope](fault, cancelled));
  const lateStarts = cancelledRuns.filter(isLateStart);
  const unexcusedStarts = lateStarts.filter((cancelled) => !findExcuse(cancelled));
  const excusedStarts = lateStarts.filter(findExcuse);
  const longRuns = cancelledRuns.filter(
    (cancelled) => measureCalmRunMs(cancelled, observation) > cancelMs + stopTimeoutMs,
  );
  return {
    broken: [
      ...unexcusedStarts.map((cancelled) => `started after a cancel ${describeRun(cancelled)}`),
      ...longRuns.map((cancelled) => `ran on after a cancel ${describeRun(cancelled)}`),
    ],
    excused: excusedStarts.map(
      (cancelled) => `${describeRun(cancelled)}: ${JSON.stringify(findExcuse(cancelled))}`,
    ),
  };
};
