import type { Effect } from '../Effect.js';
import { isJobEnded } from '../jobs/isJobEnded.js';
import type { State } from '../State.js';
import type { StoredRecord } from '../usage/StoredRecord.js';

/**
 * Appends the open jobs again at each third of the log's retention, so that they never expire.
 * O(jobs).
 */
export const appendOpenJobs = (state: State, at: number): Effect[] => {
  const { recovery, timing } = state;
  if (at < recovery.nextReappendAt) return [];
  recovery.nextReappendAt = at + timing.logRetentionMs / 3;
  const records = [...state.jobs.jobs.values()]
    .filter((job) => job.specKnown && !isJobEnded(job))
    .map((job): StoredRecord => ({ kind: 'jobSubmitted', id: `${job.id}/jobSubmitted`, job }));
  // The records are copied, because the jobs are updated in place before the records are sent.
  return records.length === 0
    ? []
    : [{ type: 'emit', event: { type: 'usageNoted', records: structuredClone(records) } }];
};
