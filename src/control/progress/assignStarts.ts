import type { PendingAppend } from './PendingAppend.js';

/** Assigns each start to the append with which its job's progress is complete. */
export const assignStarts = (
  appends: readonly PendingAppend[],
  starts: PendingAppend['startsToSend'],
): void => {
  const lastAppends = new Map<string | null, PendingAppend>();
  appends.forEach((append) => append.units.forEach(({ jobId }) => lastAppends.set(jobId, append)));
  starts.forEach((start) => lastAppends.get(start.task.jobId)?.startsToSend.push(start));
};
