import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { createLogSlowdown } from '../workers/createLogSlowdown.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';

// A new leader can lose at most the estimates of this interval.
const writeIntervalMs = 5000;
// An ID has at most 255 bytes, as the key of a registry entry, so that these fit into a record of 256 KiB.
const maxSpeedsPerRecord = 900;

const buildRecords = (speeds: readonly WorkerSpeed[]): RunsRecord[] =>
  Array.from({ length: Math.ceil(speeds.length / maxSpeedsPerRecord) }, (_, part) => ({
    type: 'speeds',
    part,
    speeds: speeds.slice(part * maxSpeedsPerRecord, (part + 1) * maxSpeedsPerRecord),
  }));

/** Builds the records of worker speed estimates if the write interval has passed. */
export const takeSpeedRecords = (term: Term, now: Now): RunsRecord[] => {
  if (now.at - term.speedsWrittenAt < writeIntervalMs) return [];
  term.speedsWrittenAt = now.at;
  const priorVariance = createLogSlowdown().variance;
  const speeds = [...term.workers.values()]
    .filter(({ logSlowdown }) => logSlowdown.variance < priorVariance)
    .map(({ id, logSlowdown }) => ({ workerId: id, logSlowdown }));
  return buildRecords(speeds);
};
