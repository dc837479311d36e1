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

// The end of a short request does not trigger a placement pass; a periodic pass finds its slot.
const placementIntervalMs = 1000;

/**
 * Deletes ended jobs whose retention time has passed, handles the deadlines of other jobs unless
 * another scheduler controls them, starts replicated gangs and answers submissions.
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
