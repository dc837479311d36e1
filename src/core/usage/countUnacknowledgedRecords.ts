import type { UsageState } from './UsageState.js';

/** Counts the records of this daemon that are not known to be in the log, or stored elsewhere. */
export const countUnacknowledgedRecords = ({
  unsentRecords: open,
  sentBatches: unacknowledged,
  appendQueues: lanes,
}: UsageState): number => {
  const sent = [...unacknowledged.values()].map(({ records }) => records.length);
  const queued = Object.values(lanes).map(
    ({ waiting, inFlight }) => waiting.length + (inFlight?.entries.length ?? 0),
  );
  return [...sent, ...queued].reduce((sum, count) => sum + count, open.length);
};
