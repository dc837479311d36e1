import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { addDeadline } from './addDeadline.js';
import type { EventTime } from './EventTime.js';
import { failGang } from './failGang.js';
import { isGangWhole } from './isGangWhole.js';
import type { Job } from './Job.js';
import type { JobState } from './JobState.js';
import type { PartState } from './PartState.js';
import { retryCall } from './retryCall.js';
import { updatePhase } from './updatePhase.js';
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
    isGangWhole(state, job, event.at)
      ? updatePhase(state, job, event)
      : failGang(state, job, event, { reason: 'gang-part-lost', blame: 'none', workerIds: [] }),
  checkpointing: (state, job, event) =>
    stopGang(state, job, event, 'requeue', 'checkpoint not taken in time'),
  stopping: (state, job, event) => {
    addDeadline(state.jobs, job, event.at + state.timing.renewEveryMs);
    return [
      ...job.parts.flatMap((part) => retryCall(state, job, part, event.at)),
      ...updatePhase(state, job, event),
    ];
  },
};

/** Decides on a job whose deadline has come. Cost: O(parts of the job). */
export const handleJobDeadline = (state: State, job: Job, event: EventTime): Effect[] => {
  job.dueAt = null;
  return handlers[job.state]?.(state, job, event) ?? [];
};
