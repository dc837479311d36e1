import type { TaskRun } from '../simulation/TaskRun.js';
import type { Property } from './Property.js';

// The bound of P2, and 1% for the worker's clock.
const boundMs = 9090;

/** Longest time for which a part ran while another part neither ran nor had finished. */
const measureAlone = (run: TaskRun, other: TaskRun | undefined, now: number): number => {
  const end = run.endedAt ?? now;
  if (!other) return end - run.startedAt;
  const before = Math.min(end, other.startedAt) - run.startedAt;
  const stoppedAt = other.end === 'finished' ? Infinity : (other.endedAt ?? Infinity);
  return Math.max(before, end - Math.max(run.startedAt, stoppedAt));
};

/**
 * P2: no part of a gang runs without the rest for longer than the bound. A renewal that the network
 * delivers late extends the lease by its time on the way.
 */
export const checkGang: Property = ({ history, now }) => {
  const limitMs = boundMs + history.maxRenewalDelayMs;
  const runs = new Map(history.taskRuns.map((run) => [run.taskId, run]));
  const alone = history.taskRuns.find((run) =>
    Array.from({ length: run.parts }, (_, index) =>
      runs.get(`${run.jobId}.${run.attempt}.${index}`),
    ).some((other) => measureAlone(run, other, now) > limitMs),
  );
  return alone ? `${alone.taskId} ran without the rest for more than ${limitMs} ms` : null;
};
