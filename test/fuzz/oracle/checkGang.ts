import type { TaskRun } from '../simulation/TaskRun.js';
import type { Property } from './Property.js';

// The bound of P2, plus 1% for the rate of the worker's clock.
const boundMs = 9090;

/** Longest time for which a part ran while another part neither ran nor had finished. */
const measurePartialRunMs = (run: TaskRun, other: TaskRun | undefined, now: number): number => {
  const end = run.endedAt ?? now;
  if (!other) return end - run.startedAt;
  const beforeOtherMs = Math.min(end, other.startedAt) - run.startedAt;
  const stoppedAt = other.end === 'finished' ? Infinity : (other.endedAt ?? Infinity);
  return Math.max(beforeOtherMs, end - Math.max(run.startedAt, stoppedAt));
};

/**
 * P2: no part of a gang runs without the rest for longer than the bound. A renewal that the network
 * delivers late extends the lease by its delay.
 */
export const checkGang: Property = ({ history, now }) => {
  const limitMs = boundMs + history.maxRenewalDelayMs;
  const runs = new Map(history.taskRuns.map((run) => [run.taskId, run]));
  const violatingRun = history.taskRuns.find((run) =>
    Array.from({ length: run.parts }, (_, index) =>
      runs.get(`${run.jobId}.${run.attempt}.${index}`),
    ).some((other) => measurePartialRunMs(run, other, now) > limitMs),
  );
  return violatingRun
    ? `${violatingRun.taskId} ran without the rest for more than ${limitMs} ms`
    : null;
};
