import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { buildProgress } from '../plans/buildProgress.js';
import { takeUsageRecords } from '../usage/takeUsageRecords.js';
import { takeSpeedRecords } from './takeSpeedRecords.js';

/** Takes the unwritten job progress, usage and worker speeds that a new leader needs. */
export const takeRunsRecords = (term: Term, now: Now): RunsRecord[] => {
  const records: RunsRecord[] = [];
  term.dirtyJobIds.forEach((id) => {
    const plan = term.plans.get(id);
    if (plan) records.push({ type: 'progress', id, progress: buildProgress(plan, now) });
  });
  term.orphanedJobIds.forEach((id) =>
    records.push({ type: 'dropped', recordType: 'progress', id }),
  );
  term.dirtyJobIds.clear();
  term.orphanedJobIds.clear();
  return [...records, ...takeUsageRecords(term, now), ...takeSpeedRecords(term, now)];
};
