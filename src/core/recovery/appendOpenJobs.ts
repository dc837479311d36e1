import type { Effect } from '../Effect.js';
import { isJobEnded } from '../jobs/isJobEnded.js';
import type { State } from '../State.js';
import type { StoredRecord } from '../usage/StoredRecord.js';

/** Repeats the records of open jobs well before the log forgets them. O(jobs), once per third. */
export const appendOpenJobs = (state: State, at: number): Effect[] => {
  const { recovery, timing } = state;
  if (at < recovery.nextReappendAt) return [];
  recovery.nextReappendAt = at + timing.logRetentionMs / 3;
  const records = [...state.jobs.jobs.values()]
    .filter((job) => job.specKnown && !isJobEnded(job))
    .map((job): StoredRecord => ({ kind: 'jobSubmitted', id: `${job.id}/jobSubmitted`, job }));
  // The records are copies, because the jobs change in place before the records are sent.
  return records.length === 0
    ? []
    : [{ type: 'emit', event: { type: 'usageNoted', records: structuredClone(records) } }];
};
