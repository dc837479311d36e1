import type { UsageState } from './UsageState.js';

/** Counts the records of this daemon that are not known to be stored by a recorder or the log. */
export const countUnacknowledgedRecords = ({
  unsentRecords,
  sentBatches,
  appendQueues,
}: UsageState): number => {
  const sent = [...sentBatches.values()].map(({ records }) => records.length);
  const queued = Object.values(appendQueues).map(
    ({ waiting, inFlight }) => waiting.length + (inFlight?.entries.length ?? 0),
  );
  return [...sent, ...queued].reduce((sum, count) => sum + count, unsentRecords.length);
};
