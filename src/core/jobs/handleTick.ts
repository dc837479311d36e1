import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { answerSubmissions } from './answerSubmissions.js';
import { deleteJob } from './deleteJob.js';
import { handleJobDeadline } from './handleJobDeadline.js';
import { mayControlJob } from './mayControlJob.js';
import { isJobEnded } from './isJobEnded.js';
import { startReplicatedGangs } from './startReplicatedGangs.js';
import { takeDueJobs } from './takeDueJobs.js';

// Short requests that end do not trigger a placement pass; one at this interval finds their slots.
const placementIntervalMs = 1000;

/**
 * Handles the jobs whose deadline has passed, except those that another scheduler controls, and
 * answers submissions.
 * Cost: O(due entries + waiting submissions), and a placement pass each second while jobs wait.
 */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  const { jobs } = state;
  if (jobs.queue.length > 0 && event.at >= jobs.lastPlacementAt + placementIntervalMs)
    jobs.placementDue = true;
  const due = takeDueJobs(jobs, event.at).flatMap((job) => {
    if (isJobEnded(job)) {
      deleteJob(jobs, job);
      return [];
    }
    if (mayControlJob(state, job, event.at)) return handleJobDeadline(state, job, event);
    job.dueAt = null;
    return [];
  });
  return [
    ...due,
    ...startReplicatedGangs(state, event.at),
    ...answerSubmissions(state, event.at),
    { type: 'gauge', name: 'queued_jobs', value: jobs.queue.length },
    { type: 'gauge', name: 'running_jobs', value: jobs.activeJobs.size },
  ];
};
