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

const failUnresponsive =
  (awaited: PartState): DeadlineHandler =>
  (state, job, event) => {
    const unresponsive = job.parts.filter((part) => part.state === awaited);
    return failGang(state, job, event, {
      reason: 'gang-part-late',
      blame: 'worker',
      workerIds: [...new Set(unresponsive.map((part) => part.workerId))],
    });
  };

const deadlineHandlers: Partial<Record<JobState, DeadlineHandler>> = {
  queued: (state) => {
    state.jobs.placementDue = true;
    return [];
  },
  preparing: failUnresponsive('assigned'),
  starting: failUnresponsive('prepared'),
  // This deadline is set when a task is adopted, a worker is claimed or the lead changes; the other
  // workers of the gang must have been claimed by now.
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

/** Handles a job whose deadline has passed. Cost: O(parts of the job). */
export const handleJobDeadline = (state: State, job: Job, event: EventTime): Effect[] => {
  job.dueAt = null;
  return deadlineHandlers[job.state]?.(state, job, event) ?? [];
};
