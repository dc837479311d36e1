import { reduce } from '../../src/core/reduce.js';
import { createDaemonState } from './createDaemonState.js';
import { createUsageRecord } from './createUsageRecord.js';
import { openLinks } from './openLinks.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Workload } from './Workload.js';
import { fixedTime } from './fixedTime.js';

const recordsPerRun = 100;

const createUsageNotes = (tasks: number): Workload => {
  const state = createDaemonState('scheduler', { workers: 71 });
  const known = Array.from({ length: tasks }, (_, index) => createUsageRecord(index));
  reduce(state, { type: 'usageNoted', records: known, ...fixedTime });
  const records = known.slice(0, recordsPerRun);
  return {
    operations: recordsPerRun,
    prepare: () => {
      state.usage.unsentRecords = [];
    },
    run: () =>
      records.forEach((record) =>
        reduce(state, { type: 'usageNoted', records: [record], ...fixedTime }),
      ),
  };
};

const createUsageBatch = (count: number): Workload => {
  const state = createDaemonState('recorder', { workers: 71 });
  openLinks(state, 60);
  const records = Array.from({ length: count }, (_, index) => createUsageRecord(index));
  const batchId = 'vm-000/scheduler/a1b2c3d4/1';
  const from = 'vm-001/recorder' as const;
  return {
    operations: count,
    prepare: () => {
      state.usage.appendQueues.usage.nextAppendAt = 0;
    },
    run: () => {
      const scheduler = 'vm-000/scheduler' as const;
      reduce(state, { type: 'usageRecords', batchId, records, from: scheduler, ...fixedTime });
      reduce(state, { type: 'usageReplicaAck', batchId, from, ...fixedTime });
      reduce(state, { type: 'tick', ...fixedTime });
      const { appendId } = state.usage.appendQueues.usage.inFlight!;
      const answer = { appendId, stream: 'usage', firstOffset: 1 } as const;
      reduce(state, { type: 'logAppended', ...answer, ...fixedTime });
    },
  };
};

/** Cost series of usage records. */
export const usageSeries: Readonly<Record<string, Series>> = {
  'usageNoted at a scheduler': {
    axis: 'tasks recorded',
    operation: 'record',
    sizes: seriesSizes.tasks,
    create: createUsageNotes,
  },
  'usageRecords to logAppended at a recorder': {
    axis: 'records in the batch',
    operation: 'record',
    sizes: [10, 50, 100, 250, 500],
    create: createUsageBatch,
  },
};
