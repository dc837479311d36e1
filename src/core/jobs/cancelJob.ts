import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import type { Effect } from '../Effect.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { describeJob } from './describeJob.js';
import { endJob } from './endJob.js';
import type { EventTime } from './EventTime.js';
import { mayControlJob } from './mayControlJob.js';
import { isJobEnded } from './isJobEnded.js';
import type { Job } from './Job.js';
import { refuseCommand } from './refuseCommand.js';
import { scheduleJobs } from './scheduleJobs.js';
import { stopGang } from './stopGang.js';

const cancelInState = (state: State, job: Job, event: EventTime): Effect[] => {
  if (isJobEnded(job)) return [];
  if (job.state !== 'queued') return stopGang(state, job, event, 'cancel', 'cancelled by caller');
  // Capacity kept for the job becomes available to others.
  state.jobs.placementDue = true;
  return endJob(state, job, 'cancelled', event);
};

/** Cancels a job in any state; an ended job is left unchanged. Cost: O(parts + queued jobs). */
export const cancelJob: CommandHandler<'cancelJob'> = (state, request) => {
  const { requestId, from, at, wall, command } = request;
  const job = state.jobs.jobs.get(command.jobId);
  if (job?.workspace !== command.workspace)
    return refuseCommand(request, createRefusal('unknown-job'));
  if (!mayControlJob(state, job, at)) return refuseCommand(request, createRefusal('no-lead'));
  const effects = cancelInState(state, job, { at, wall });
  const answer = answerCommand(from, requestId, { ok: true, data: describeJob(job) });
  const placed = state.jobs.placementDue ? scheduleJobs(state, { at, wall }) : [];
  return [...effects, answer, ...placed];
};
