import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { buildProgress } from '../plans/buildProgress.js';
import { listUsage } from '../usage/listUsage.js';
import { listSpeeds } from './listSpeeds.js';

/** Takes out what a successor has to know about the tasks and was not written yet. */
export const buildRunsRecords = (term: Term, now: Now): RunsRecord[] => {
  const records: RunsRecord[] = [];
  term.dirty.forEach((id) => {
    const plan = term.plans.get(id);
    if (plan) records.push({ type: 'progress', id, progress: buildProgress(plan, now) });
  });
  term.orphans.forEach((id) => records.push({ type: 'dropped', of: 'progress', id }));
  term.dirty.clear();
  term.orphans.clear();
  return [...records, ...listUsage(term, now), ...listSpeeds(term, now)];
};
