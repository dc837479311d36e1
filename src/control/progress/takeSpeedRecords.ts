import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { createLogSlowdown } from '../workers/createLogSlowdown.js';

// A new leader can lose at most the estimates of this interval.
const writeIntervalMs = 5000;

/** Builds the record of worker speed estimates if the write interval has passed. */
export const takeSpeedRecords = (term: Term, now: Now): RunsRecord[] => {
  if (now.at - term.speedsWrittenAt < writeIntervalMs) return [];
  term.speedsWrittenAt = now.at;
  const priorVariance = createLogSlowdown().variance;
  const speeds = [...term.workers.values()]
    .filter(({ logSlowdown }) => logSlowdown.variance < priorVariance)
    .map(({ id, logSlowdown }) => ({ workerId: id, logSlowdown }));
  return speeds.length > 0 ? [{ type: 'speeds', speeds }] : [];
};
