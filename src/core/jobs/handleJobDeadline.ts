import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import type { EventTime } from './EventTime.js';
import { failGang } from './failGang.js';
import { isGangIntact } from './isGangIntact.js';
import type { Job } from './Job.js';
import type { JobState } from './JobState.js';
import type { PartState } from './PartState.js';
import { retryTaskCall } from './retryTaskCall.js';
import { advanceJobState } from './advanceJobState.js';
import { stopGang } from './stopGang.js';

type DeadlineHandler = (state: State, job: Job, event: EventTime) => Effect[];

const failLate =
  (awaited: PartState): DeadlineHandler =>
  (state, job, event) => {
    const late = job.parts.filter((part) => part.state === awaited);
    return failGang(state, job, event, {
      reason: 'gang-part-late',
      blame: 'worker',
      workerIds: [...new Set(late.map((part) => part.workerId))],
    });
  };

const handlers: Partial<Record<JobState, DeadlineHandler>> = {
  queued: (state) => {
    state.jobs.placementDue = true;
    return [];
  },
  preparing: failLate('assigned'),
  starting: failLate('prepared'),
  // Set when a gang is adopted: by now the other workers must have been claimed.
  running: (state, job, event) =>
    isGangIntact(state, job, event.at)
      ? advanceJobState(state, job, event)
      : failGang(state, job, event, { reason: 'gang-part-lost', blame: 'none', workerIds: [] }),
  checkpointing: (state, job, event) =>
    stopGang(state, job, event, 'requeue', 'checkpoint not taken in time'),
  stopping: (state, job, event) => {
    setJobDeadline(state.jobs, job, event.at + state.timing.renewEveryMs);
    return [
      ...job.parts.flatMap((part) => retryTaskCall(state, job, part, event.at)),
      ...advanceJobState(state, job, event),
    ];
  },
};

/** Decides on a job whose deadline has come. Cost: O(parts of the job). */
export const handleJobDeadline = (state: State, job: Job, event: EventTime): Effect[] => {
  job.dueAt = null;
  return handlers[job.state]?.(state, job, event) ?? [];
};
