import { addRunningTasks } from './addRunningTasks.js';
import { createDaemonState } from './createDaemonState.js';
import { createSettingsSnapshot } from './createSettingsSnapshot.js';
import { createUsageRecord } from './createUsageRecord.js';
import { openLinks } from './openLinks.js';
import { seriesSizes } from './seriesSizes.js';
import { decodeMessage } from '../../src/adapters/mesh/decodeMessage.js';
import { encodeMessage } from '../../src/adapters/mesh/encodeMessage.js';
import { reduce } from '../../src/core/reduce.js';
import { fixedTime } from './fixedTime.js';

/** A state whose heap use is measured at several sizes, after garbage collection. */
interface HeapSeries {
  axis: string;
  sizes: readonly number[];
  create: (size: number) => unknown;
}

const createWithTasks = (tasks: number, parts: number): unknown => {
  const state = createDaemonState('scheduler', { workers: 567, teams: 1 });
  addRunningTasks(state, tasks, parts);
  return state;
};

/** Series of heap use, by name; every daemon holds a decoded settings tree. */
export const heapSeries: Readonly<Record<string, HeapSeries>> = {
  'workers of the own zone, no tasks': {
    axis: 'workers',
    sizes: seriesSizes.workers,
    create: (workers) => createDaemonState('scheduler', { workers }),
  },
  'tasks in jobs of 20 parts': {
    axis: 'tasks',
    sizes: seriesSizes.tasks,
    create: (tasks) => createWithTasks(tasks, 20),
  },
  'jobs of one part': {
    axis: 'jobs',
    sizes: seriesSizes.jobs,
    create: (jobs) => createWithTasks(jobs, 1),
  },
  'settings tree as decoded, by workers': {
    axis: 'workers in the tree',
    sizes: [1062, 2125, 4250, 8500, 17_000],
    create: (workers) => {
      const message = {
        type: 'settingsTree',
        snapshot: createSettingsSnapshot({ workers }),
      } as const;
      return decodeMessage(encodeMessage(message));
    },
  },
  'settings tree, by workspaces': {
    axis: 'workspaces',
    sizes: seriesSizes.workspaces,
    create: (teams) => createSettingsSnapshot({ workers: 71, teams, workspacesPerTeam: 1 }),
  },
  'links to the daemons of other VMs': {
    axis: 'VMs linked',
    sizes: [90, 180, 360, 720, 1440],
    create: (vms) => {
      const state = createDaemonState('gateway', { workers: 71 });
      openLinks(state, vms);
      return state;
    },
  },
  'usage records not yet stored': {
    axis: 'records',
    sizes: seriesSizes.tasks,
    create: (count) => {
      const state = createDaemonState('scheduler', { workers: 71 });
      const records = Array.from({ length: count }, (_, index) => createUsageRecord(index));
      reduce(state, { type: 'usageNoted', records, ...fixedTime });
      return state;
    },
  },
};
