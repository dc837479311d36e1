import { reduce } from '../../src/core/reduce.js';
import type { State } from '../../src/core/State.js';
import type { WorkerCall } from '../../src/core/ownership/WorkerCall.js';
import { addRunningTasks } from './addRunningTasks.js';
import { cancelJobs } from './cancelJobs.js';
import { createDaemonState } from './createDaemonState.js';
import { createWorkerReports } from './createWorkerReports.js';
import { dropJobs } from './dropJobs.js';
import { answerRenewals } from './answerRenewals.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Workload } from './Workload.js';
import { submitJobs } from './submitJobs.js';
import { fixedTime } from './fixedTime.js';

const gangIds = ['gang'];

const answerCalls = (state: State, call: Exclude<WorkerCall['kind'], 'lease'>): void =>
  state.jobs.jobs.get('gang')!.parts.forEach(({ workerId, taskId }) => {
    reduce(state, { type: 'taskAnswered', workerId, taskId, call, accepted: true, ...fixedTime });
  });

const startGang = (state: State, parts: number): void => {
  submitJobs(state, gangIds, { tasks: parts });
  answerCalls(state, 'prepareTask');
  answerCalls(state, 'startTask');
};

const createGangStart = (parts: number): Workload => {
  const state = createDaemonState('scheduler');
  return {
    operations: parts,
    prepare: () => {
      if (state.jobs.jobs.has('gang')) cancelJobs(state, gangIds, true);
      dropJobs(state, gangIds);
    },
    run: () => startGang(state, parts),
  };
};

const createGangFinish = (parts: number): Workload => {
  const state = createDaemonState('scheduler');
  let reports = createWorkerReports(state);
  return {
    operations: parts,
    prepare: () => {
      dropJobs(state, gangIds);
      startGang(state, parts);
      reports = createWorkerReports(state);
      reports.forEach(({ tasks }) =>
        tasks.forEach((task) => {
          task.state = 'finished';
        }),
      );
    },
    run: () => answerRenewals(state, reports),
  };
};

// With one accelerator per part, a gang fills its workers with eight parts each.
const createRunningGang = (parts: number): State => {
  const state = createDaemonState('scheduler', { workers: parts / 8, teams: 1 });
  addRunningTasks(state, parts, parts);
  return state;
};

const createRenewalTick = (parts: number): Workload => {
  const state = createRunningGang(parts);
  return {
    operations: parts / 8,
    prepare: () =>
      state.ownership.leases.forEach((lease) => {
        lease.nextCallAt = 0;
        lease.callSentAt = null;
      }),
    run: () => reduce(state, { type: 'tick', ...fixedTime }),
  };
};

const createRenewalAnswers = (parts: number): Workload => {
  const state = createRunningGang(parts);
  const reports = createWorkerReports(state);
  return { operations: reports.size, run: () => answerRenewals(state, reports) };
};

const makeSeries = (operation: string, create: Series['create']): Series => ({
  axis: 'parts of one gang',
  operation,
  sizes: seriesSizes.parts,
  create,
});

/** Cost series of gangs, per part or worker: an exponent of 0 means a linear total. */
export const gangSeries: Readonly<Record<string, Series>> = {
  'gang start': makeSeries('part, from submitJob to running', createGangStart),
  'gang finish': makeSeries('part, by leaseAnswered', createGangFinish),
  'tick, every renewal of a gang due': makeSeries('worker of 8 parts', createRenewalTick),
  'leaseAnswered renew, workers of a gang': makeSeries('worker of 8 parts', createRenewalAnswers),
};
