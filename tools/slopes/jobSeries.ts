import type { JobSpec } from '../../src/core/jobs/JobSpec.js';
import { applyReplicatedJob } from '../../src/core/jobs/applyReplicatedJob.js';
import { reduce } from '../../src/core/reduce.js';
import type { State } from '../../src/core/State.js';
import { addRunningTasks } from './addRunningTasks.js';
import { cancelJobs } from './cancelJobs.js';
import { createDaemonState } from './createDaemonState.js';
import { createRunningJob } from './createRunningJob.js';
import { createLoadedScheduler } from './createLoadedScheduler.js';
import { dropJobs } from './dropJobs.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Workload } from './Workload.js';
import { submitJobs } from './submitJobs.js';
import { targetSize } from './targetSize.js';
import { fixedTime } from './fixedTime.js';

const listIds = (prefix: string, count: number): string[] =>
  Array.from({ length: count }, (_, index) => `${prefix}-${index}`);

const measuredIds = listIds('measured', 8);

const createSubmit = (state: State, spec: Partial<JobSpec> = {}): Workload => {
  const removeMeasuredJobs = (): void => {
    const known = measuredIds.filter((id) => state.jobs.jobs.has(id));
    cancelJobs(state, known, true);
    dropJobs(state, measuredIds);
  };
  return {
    operations: measuredIds.length,
    prepare: removeMeasuredJobs,
    run: () => submitJobs(state, measuredIds, spec),
  };
};

const createCancel = (state: State, spec: Partial<JobSpec> = {}): Workload => ({
  operations: measuredIds.length,
  prepare: () => {
    dropJobs(state, measuredIds);
    submitJobs(state, measuredIds, spec);
  },
  run: () => cancelJobs(state, measuredIds, true),
});

const createWithQueuedJobs = (queued: number): State => {
  const state = createDaemonState('scheduler');
  // A whole zone of single tasks: nothing that is queued fits.
  addRunningTasks(state, targetSize.zoneWorkers * 8);
  submitJobs(state, listIds('queued', queued));
  return state;
};

const createPlacementTick = (state: State): Workload => ({
  operations: 1,
  prepare: () => {
    state.jobs.lastPlacementAt = -Infinity;
    state.jobs.reservation = null;
  },
  run: () => reduce(state, { type: 'tick', ...fixedTime }),
});

const createWithEndedJobs = (jobs: number): State => {
  const state = createDaemonState('scheduler');
  addRunningTasks(state, targetSize.zoneTasks);
  listIds('ended', jobs).forEach((id) => {
    const ended = { ...createRunningJob(id, 'workspace-0001', []), state: 'finished' } as const;
    applyReplicatedJob(state, ended, fixedTime.at);
  });
  return state;
};

const createWithTeams = (teams: number): State =>
  createDaemonState('scheduler', { teams, workspacesPerTeam: 1 });

/** Cost series of submitting and cancelling jobs. */
export const jobSeries: Readonly<Record<string, Series>> = {
  'submitJob that starts': {
    axis: 'workers',
    operation: 'job of one part',
    sizes: seriesSizes.workers,
    create: (workers) => createSubmit(createLoadedScheduler(workers)),
  },
  'cancelJob that runs': {
    axis: 'workers',
    operation: 'job of one part',
    sizes: seriesSizes.workers,
    create: (workers) => createCancel(createLoadedScheduler(workers)),
  },
  'submitJob that waits': {
    axis: 'queued jobs',
    operation: 'job of one part',
    sizes: seriesSizes.shortQueue,
    create: (queued) => createSubmit(createWithQueuedJobs(queued)),
  },
  'cancelJob that waits': {
    axis: 'queued jobs',
    operation: 'job of one part',
    sizes: seriesSizes.shortQueue,
    create: (queued) => createCancel(createWithQueuedJobs(queued)),
  },
  'tick with a placement pass': {
    axis: 'queued jobs',
    operation: 'tick',
    sizes: seriesSizes.queuedJobs,
    create: (queued) => createPlacementTick(createWithQueuedJobs(queued)),
  },
  'submitJob, by ended jobs': {
    axis: 'ended jobs',
    operation: 'job of one part',
    sizes: seriesSizes.jobs,
    create: (jobs) => createSubmit(createWithEndedJobs(jobs)),
  },
  'submitJob, by workspaces': {
    axis: 'workspaces, one a team',
    operation: 'job of one part',
    sizes: seriesSizes.workspaces,
    create: (teams) => createSubmit(createWithTeams(teams)),
  },
};
