import { reduce } from '../../src/core/reduce.js';
import type { State } from '../../src/core/State.js';
import { addRunningTasks } from './addRunningTasks.js';
import { createDaemonState } from './createDaemonState.js';
import { createWorkerReports } from './createWorkerReports.js';
import { createLoadedScheduler } from './createLoadedScheduler.js';
import { answerRenewals } from './answerRenewals.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Workload } from './Workload.js';
import { targetSize } from './targetSize.js';
import { fixedTime } from './fixedTime.js';

const maxSampledWorkers = 64;

const createTick = (state: State): Workload => ({
  operations: 1,
  run: () => reduce(state, { type: 'tick', ...fixedTime }),
});

const createRenewalTick = (state: State): Workload => ({
  ...createTick(state),
  prepare: () =>
    state.ownership.leases.forEach((lease) => {
      lease.nextCallAt = 0;
      lease.callSentAt = null;
    }),
});

const createRenewalAnswers = (state: State): Workload => {
  const reports = createWorkerReports(state, maxSampledWorkers);
  return { operations: reports.size, run: () => answerRenewals(state, reports) };
};

const createSchedulerWithTasks = (workers: number, tasks: number): State => {
  const state = createDaemonState('scheduler', { workers });
  addRunningTasks(state, tasks);
  return state;
};

const createTakeover = (workers: number): Workload => {
  const state = createLoadedScheduler(workers);
  const reports = createWorkerReports(state);
  reports.forEach((report) => {
    report.lastRenewal = { holder: 'vm-001/e5f6a7b8', ageMs: 4000, released: false };
  });
  return {
    operations: reports.size,
    prepare: () =>
      state.ownership.leases.forEach((lease) => {
        lease.status = 'claiming';
        lease.callSentAt = fixedTime.at;
      }),
    run: () =>
      reports.forEach((report, workerId) => {
        const claim = { type: 'leaseAnswered', workerId, purpose: 'claim' } as const;
        reduce(state, { ...claim, sentAt: fixedTime.at, report, ...fixedTime });
      }),
  };
};

/** Cost series of worker leases. */
export const leaseSeries: Readonly<Record<string, Series>> = {
  'tick, nothing due': {
    axis: 'workers',
    operation: 'tick',
    sizes: seriesSizes.workers,
    create: (workers) => createTick(createLoadedScheduler(workers)),
  },
  'tick, every renewal due': {
    axis: 'workers',
    operation: 'tick',
    sizes: seriesSizes.workers,
    create: (workers) => createRenewalTick(createLoadedScheduler(workers)),
  },
  'tick, nothing due, by tasks': {
    axis: 'tasks on 17,000 workers',
    operation: 'tick',
    sizes: seriesSizes.tasks,
    create: (tasks) => createTick(createSchedulerWithTasks(targetSize.workers, tasks)),
  },
  'leaseAnswered renew': {
    axis: 'workers',
    operation: 'event',
    sizes: seriesSizes.workers,
    create: (workers) => createRenewalAnswers(createLoadedScheduler(workers)),
  },
  'leaseAnswered renew, by tasks': {
    axis: 'tasks on 17,000 workers',
    operation: 'event',
    sizes: seriesSizes.tasks,
    create: (tasks) => createRenewalAnswers(createSchedulerWithTasks(targetSize.workers, tasks)),
  },
  'leaseAnswered claim, whole zone': {
    axis: 'workers',
    operation: 'event',
    sizes: seriesSizes.zoneWorkers,
    create: createTakeover,
  },
};
