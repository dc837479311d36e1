import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { endedJobRetentionMs } from './endedJobRetentionMs.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import { removeFromQueue } from './removeFromQueue.js';
import { setJobState } from './setJobState.js';

/** Moves a job without running parts to a final state and records its end. Cost: O(queued jobs). */
export const endJob = (
  state: State,
  job: Job,
  end: 'finished' | 'failed' | 'cancelled',
  { at, wall }: EventTime,
): Effect[] => {
  removeFromQueue(state.jobs, job.id);
  setJobState(state, job, end, at);
  job.endedWall = wall;
  setJobDeadline(state.jobs, job, at + endedJobRetentionMs);
  const record = { kind: 'jobEnded', id: `${job.id}/jobEnded`, jobId: job.id, state: end } as const;
  return [{ type: 'emit', event: { type: 'usageNoted', records: [record] } }];
};
