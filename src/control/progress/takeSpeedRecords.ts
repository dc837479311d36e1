import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { createLogSlowdown } from '../workers/createLogSlowdown.js';

// A successor may lack what was learned in this time.
const writeIntervalMs = 5000;

/** Builds the record of the workers' speeds, some of the time. */
export const takeSpeedRecords = (term: Term, now: Now): RunsRecord[] => {
  if (now.at - term.speedsWrittenAt < writeIntervalMs) return [];
  term.speedsWrittenAt = now.at;
  const priorVariance = createLogSlowdown().variance;
  const speeds = [...term.workers.values()]
    .filter(({ logSlowdown: slowness }) => slowness.variance < priorVariance)
    .map(({ id, logSlowdown: slowness }) => ({ workerId: id, slowness }));
  return speeds.length > 0 ? [{ type: 'speeds', speeds }] : [];
};
