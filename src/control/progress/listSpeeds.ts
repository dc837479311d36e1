import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';

// A successor may lack what was learned in this time.
const writeEveryMs = 5000;

const countRuns = (term: Term): number =>
  [...term.workers.values()].reduce((sum, { measuredRuns }) => sum + measuredRuns, 0);

/** Builds the record of the workers' speeds, when there is something new to tell a successor. */
export const listSpeeds = (term: Term, now: Now): RunsRecord[] => {
  const runs = countRuns(term);
  if (runs === term.speedsWritten.runs || now.at - term.speedsWritten.at < writeEveryMs) return [];
  term.speedsWritten = { at: now.at, runs };
  const speeds = [...term.workers.values()]
    .filter(({ measuredRuns }) => measuredRuns > 0)
    .map(({ id, slowness, measuredRuns }) => ({ workerId: id, slowness, measuredRuns }));
  return [{ type: 'speeds', speeds }];
};
