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

// Times of a replicated job were taken on another VM's clock.
const takeOver = (state: State, job: Job, at: number, ranMs: number): void => {
  job.phaseAt = at - ranMs;
  setJobDeadline(state.jobs, job, at + state.timing.gangSilenceMs);
};

// The gang may have become whole; its leases have run since the previous holder's last renewal.
const renewGang = (state: State, job: Job, at: number): void =>
  job.parts.forEach((part) => scheduleRenewal(state, part.workerId, at));

// The record of the start may have been lost with the previous holder; the id makes it count once.
const recordStarts = (job: Job, parts: JobPart[]): Effect[] =>
  parts.flatMap((part) =>
    part.startedWall === null
      ? []
      : [recordPartUsage(job, part, { kind: 'taskStarted', wall: part.startedWall })],
  );

/**
 * Adopts the tasks of a newly held worker. A gang with parts elsewhere is given `gangSilenceMs` for
 * its other workers to be claimed. Cost: that of `compareReport`.
 */
export const handleWorkerClaimed = (state: State, event: EventOf<'workerClaimed'>): Effect[] => {
  const { jobs } = state;
  const ranMs = new Map(event.report.tasks.map((task) => [task.jobId, task.ranMs]));
  jobs.lastHeardByWorker.set(event.workerId, event.at);
  jobs.placementDue = true;
  const jobIds = new Set(
    [...(jobs.tasksByWorker.get(event.workerId) ?? [])].map((taskId) =>
      jobs.jobIdByTask.get(taskId),
    ),
  );
  jobIds.forEach((jobId) => {
    const job = jobs.jobs.get(jobId ?? '');
    if (job && !isJobEnded(job)) takeOver(state, job, event.at, ranMs.get(job.id) ?? 0);
  });
  // Tasks that the comparison closes get their records there.
  const unwatched = event.report.tasks.filter(({ taskId }) => !jobs.jobIdByTask.has(taskId));
  const starts = [...listPartsOnWorker(jobs, event.workerId)].flatMap(([job, parts]) =>
    recordStarts(job, parts),
  );
  const compared = reconcileReport(state, event.workerId, event.report, event, Infinity);
  [...listPartsOnWorker(jobs, event.workerId).keys()].forEach((job) =>
    renewGang(state, job, event.at),
  );
  const ended = unwatched.flatMap((task) => recordEndedTask(event.workerId, task, event));
  return [...starts, ...compared, ...ended];
};
