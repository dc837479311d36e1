import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { createSlowness } from '../workers/createSlowness.js';

// A successor may lack what was learned in this time.
const writeEveryMs = 5000;

/** Builds the record of the workers' speeds, some of the time. */
export const listSpeeds = (term: Term, now: Now): RunsRecord[] => {
  if (now.at - term.speedsAt < writeEveryMs) return [];
  term.speedsAt = now.at;
  const unknown = createSlowness().variance;
  const speeds = [...term.workers.values()]
    .filter(({ slowness }) => slowness.variance < unknown)
    .map(({ id, slowness }) => ({ workerId: id, slowness }));
  return speeds.length > 0 ? [{ type: 'speeds', speeds }] : [];
};
