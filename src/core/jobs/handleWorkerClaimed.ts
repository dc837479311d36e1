import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { addDeadline } from './addDeadline.js';
import { isJobEnded } from './isJobEnded.js';
import type { Job } from './Job.js';
import { compareReport } from './compareReport.js';

// Times of a replicated job were taken on another VM's clock.
const takeOver = (state: State, job: Job, at: number, ranMs: number): void => {
  job.phaseAt = at - ranMs;
  addDeadline(state.jobs, job, at + state.timing.gangSilenceMs);
};

/**
 * Adopts the tasks of a newly held worker. A gang with parts elsewhere is given `gangSilenceMs` for
 * its other workers to be claimed. Cost: that of `compareReport`.
 */
export const handleWorkerClaimed = (state: State, event: EventOf<'workerClaimed'>): Effect[] => {
  const { jobs } = state;
  const ranMs = new Map(event.report.tasks.map((task) => [task.jobId, task.ranMs]));
  jobs.heardByWorker.set(event.workerId, event.at);
  jobs.placementDue = true;
  const jobIds = new Set(
    [...(jobs.tasksByWorker.get(event.workerId) ?? [])].map((taskId) => jobs.jobByTask.get(taskId)),
  );
  jobIds.forEach((jobId) => {
    const job = jobs.jobs.get(jobId ?? '');
    if (job && !isJobEnded(job)) takeOver(state, job, event.at, ranMs.get(job.id) ?? 0);
  });
  return compareReport(state, event.workerId, event.report, event, Infinity);
};
