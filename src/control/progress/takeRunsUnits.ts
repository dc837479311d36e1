import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { StoreLimits } from '../settings/StoreLimits.js';
import { takeUsageRecords } from '../usage/takeUsageRecords.js';
import type { AppendUnit } from './AppendUnit.js';
import { buildProgressRecords } from './buildProgressRecords.js';
import { takeSpeedRecords } from './takeSpeedRecords.js';

/** Whether the store refused the progress of the job a moment ago. */
const isSetAside = ({ refusedJobs }: Term, id: string, now: Now): boolean =>
  now.at < (refusedJobs.get(id)?.retryAt ?? 0);

const toUnit = (record: RunsRecord): AppendUnit => ({ jobId: null, records: [record] });

/**
 * Takes the unwritten job progress, usage and worker speeds that a new leader needs. Jobs with few records come first,
 * so that large ones don't hold up their starts.
 */
export const takeRunsUnits = (term: Term, limits: StoreLimits, now: Now): AppendUnit[] => {
  const jobs: AppendUnit[] = [];
  term.unwrittenTasks.forEach((tasks, id) => {
    const plan = term.plans.get(id);
    if (isSetAside(term, id, now)) return;
    term.unwrittenTasks.delete(id);
    if (!plan) return;
    jobs.push({ jobId: id, records: buildProgressRecords(plan, tasks, limits, now) });
  });
  jobs.sort((a, b) => a.records.length - b.records.length);
  const orphans = term.orphanedRecords.map((name): RunsRecord => ({ type: 'dropped', ...name }));
  term.orphanedRecords = [];
  // Usage comes last: if the leader ends between two appends, a run is left out rather than counted twice.
  return [
    ...jobs,
    ...[...orphans, ...takeUsageRecords(term, now), ...takeSpeedRecords(term, now)].map(toUnit),
  ];
};
