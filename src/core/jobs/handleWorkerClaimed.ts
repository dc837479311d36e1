import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { scheduleRenewal } from '../ownership/scheduleRenewal.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { isJobEnded } from './isJobEnded.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { reconcileReport } from './reconcileReport.js';
import { listPartsOnWorker } from './listPartsOnWorker.js';
import { recordEndedTask } from './recordEndedTask.js';
import { recordPartUsage } from './recordPartUsage.js';

// The monotonic times of a replicated job were taken on another VM's clock.
const resetJobTimes = (state: State, job: Job, at: number, ranMs: number): void => {
  job.phaseAt = at - ranMs;
  setJobDeadline(state.jobs, job, at + state.timing.gangSilenceMs);
};

// The gang may be intact now; its task leases have not been renewed since the previous holder did.
const scheduleGangRenewals = (state: State, job: Job, at: number): void =>
  job.parts.forEach((part) => scheduleRenewal(state, part.workerId, at));

// The start records may have been lost with the previous holder; duplicates are dropped by id.
const recordStarts = (job: Job, parts: JobPart[]): Effect[] =>
  parts.flatMap((part) =>
    part.startedWall === null
      ? []
      : [recordPartUsage(job, part, { kind: 'taskStarted', wall: part.startedWall })],
  );

/**
 * Adopts the tasks of a newly held worker. The other workers of a gang must be claimed within
 * `gangSilenceMs`. Cost: that of `reconcileReport`.
 */
export const handleWorkerClaimed = (state: State, event: EventOf<'workerClaimed'>): Effect[] => {
  const { jobs } = state;
  const ranMsByJob = new Map(event.report.tasks.map((task) => [task.jobId, task.ranMs]));
  jobs.lastHeardByWorker.set(event.workerId, event.at);
  jobs.placementDue = true;
  const jobIds = new Set(
    [...(jobs.tasksByWorker.get(event.workerId) ?? [])].map((taskId) =>
      jobs.jobIdByTask.get(taskId),
    ),
  );
  jobIds.forEach((jobId) => {
    const job = jobs.jobs.get(jobId ?? '');
    if (job && !isJobEnded(job)) resetJobTimes(state, job, event.at, ranMsByJob.get(job.id) ?? 0);
  });
  // Tasks that the reconciliation ends get their usage records there.
  const unknownTasks = event.report.tasks.filter(({ taskId }) => !jobs.jobIdByTask.has(taskId));
  const startRecords = [...listPartsOnWorker(jobs, event.workerId)].flatMap(([job, parts]) =>
    recordStarts(job, parts),
  );
  const reconciled = reconcileReport(state, event.workerId, event.report, event, Infinity);
  [...listPartsOnWorker(jobs, event.workerId).keys()].forEach((job) =>
    scheduleGangRenewals(state, job, event.at),
  );
  const endRecords = unknownTasks.flatMap((task) => recordEndedTask(event.workerId, task, event));
  return [...startRecords, ...reconciled, ...endRecords];
};
