import type { State } from '../State.js';
import { buildWorkerViews } from './buildWorkerViews.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import { isOverQuota } from './isOverQuota.js';
import type { Job } from './Job.js';
import type { JobState } from './JobState.js';
import { listCapacities } from './listCapacities.js';
import { listTiers } from './listTiers.js';
import { groupEligibleJobs } from './groupEligibleJobs.js';
import { computeWeightedUse } from './computeWeightedUse.js';
import { countCommittedAccelerators } from './countCommittedAccelerators.js';
import { placeGang } from './placeGang.js';
import type { WorkerView } from './WorkerView.js';

const explainShare = (state: State, job: Job, at: number): string => {
  const ahead = (groupEligibleJobs(state, at).get(job.workspace) ?? []).findIndex(
    (other) => other.id === job.id,
  );
  const weightedUse = computeWeightedUse(state, job.workspace).toFixed(1);
  const use = countCommittedAccelerators(state.jobs, job.workspace);
  const queueText = `${Math.max(0, ahead)} of its jobs are ahead in the queue`;
  return `Workspace ${job.workspace} uses ${use} accelerators (${weightedUse} per unit of weight); ${queueText}.`;
};

const isPlaceable = (views: ReadonlyMap<string, WorkerView>, job: Job): boolean => {
  const idleViews = new Map(
    [...views].map(([id, view]) => [
      id,
      { ...view, usedAccelerators: 0, usedByWorkspace: new Map(), requestSlots: 0 },
    ]),
  );
  const tier = listTiers(job).at(-1) ?? 'own';
  return placeGang(listCapacities(idleViews, job.workspace, tier), job.spec) !== null;
};

const explainPlacement = (state: State, job: Job, at: number): string => {
  const { tasks, acceleratorsPerTask, adjacency } = job.spec;
  const views = buildWorkerViews(state, at);
  const counts = listTiers(job).map((tier) => {
    const capacities = listCapacities(views, job.workspace, tier);
    const parts = capacities.reduce(
      (sum, { capacity }) => sum + Math.floor(capacity / acceleratorsPerTask),
      0,
    );
    return `${tier} ${parts}`;
  });
  const { reservation } = state.jobs;
  const reservationText =
    reservation && reservation.jobId !== job.id
      ? ` Job ${reservation.jobId} holds a reservation on ${reservation.workers.size} workers.`
      : '';
  const needText = `Needs ${tasks} parts of ${acceleratorsPerTask} accelerators in one ${adjacency}`;
  const fitText = `parts that fit now regardless of adjacency, by capacity tier: ${counts.join(', ')}.`;
  const neverFitsText = isPlaceable(views, job)
    ? ''
    : ' Does not fit beside the guarantees of others, even if all usable workers were idle.';
  return `${needText}; ${fitText}${reservationText}${neverFitsText}`;
};

const explainQueued = (state: State, job: Job, at: number): string => {
  if (job.notBefore > at) {
    return `Is not started for another ${job.notBefore - at} ms, after ${job.failures} failed starts (${job.reason ?? ''}).`;
  }
  const hold = state.jobs.reclaimHolds.get(job.id);
  if (hold) {
    const count = new Set(hold.workers).size;
    return `Has been reclaiming its guaranteed capacity on ${count} workers for ${at - hold.startedAt} ms.`;
  }
  if (isOverQuota(state, job)) {
    const quota = findWorkspaceSettings(state, job.workspace)?.maxAccelerators ?? 0;
    const use = countCommittedAccelerators(state.jobs, job.workspace);
    const need = job.spec.tasks * job.spec.acceleratorsPerTask;
    return `Needs ${need} accelerators; the workspace uses ${use} of its quota of ${quota}.`;
  }
  return `${explainPlacement(state, job, at)} ${explainShare(state, job, at)}`;
};

const explainOther = (_state: State, job: Job): string =>
  job.reason === undefined ? `Is ${job.state}.` : `Is ${job.state}: ${job.reason}.`;

const explainers: Partial<Record<JobState, typeof explainQueued>> = { queued: explainQueued };

/**
 * Explains why a queued job waits (quota, capacity, fair share), or why a job was stopped.
 * Cost: O(workers + queued jobs log queued jobs).
 */
export const explainJob = (state: State, job: Job, at: number): string =>
  (explainers[job.state] ?? explainOther)(state, job, at);
