import { createState } from '../../../src/core/createState.js';
import type { Effect } from '../../../src/core/Effect.js';
import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { WorkerReport } from '../../../src/core/ownership/WorkerReport.js';
import { reduce } from '../../../src/core/reduce.js';
import type { SettingsTree } from '../../../src/core/settings/SettingsTree.js';
import type { WorkspaceSettings } from '../../../src/core/settings/WorkspaceSettings.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import type { BenchScheduler } from './BenchScheduler.js';

const zone = 'zone-a';
const workersPerRack = 6;
const slotsPerWorker = 8;

const buildTree = (
  workerIds: string[],
  workspaces: Record<string, WorkspaceSettings>,
): SettingsTree => {
  const workers = workerIds.map((workerId, index) => [
    workerId,
    {
      url: `http://127.0.0.1:1/${workerId}`,
      rack: `rack-${Math.floor(index / workersPerRack)}`,
      accelerators: slotsPerWorker,
      slots: slotsPerWorker,
      connections: 64,
      drained: false,
    },
  ]);
  return {
    zones: { [zone]: { workers: Object.fromEntries(workers) } },
    teams: { team: { tokenHashes: [], workspaces } },
  };
};

const buildReport = (tasks: TaskReport[]): WorkerReport => ({
  incarnation: 'w',
  leaving: false,
  // Without a holder for longer than any lease, the worker can be claimed at once.
  lastRenewal: { holder: null, ageMs: 10_000, released: false },
  tasks,
  activeRequests: [],
});

/** Creates a scheduler by applying real events, and lets it claim every worker at time 0. */
export const createScheduler = (
  workerIds: string[],
  workspaces: Record<string, WorkspaceSettings>,
  listTasks: (workerId: string, renewed: string[]) => TaskReport[] = () => [],
): BenchScheduler => {
  const self = { vmId: 'vm-1', zone, role: 'scheduler', incarnation: 'i' } as const;
  const state = createState(self, 'root-hash');
  const push = (at: number, event: UntimedEvent): Effect[] =>
    reduce(state, { ...event, at, wall: at }).flatMap((effect) => {
      if (effect.type !== 'callWorker' || effect.call.kind !== 'lease') return [effect];
      const { workerId, call } = effect;
      const report = buildReport(listTasks(workerId, call.renewTasks));
      const { purpose, sentAt } = call;
      return push(at, { type: 'leaseAnswered', workerId, purpose, sentAt, report });
    });
  const from = 'vm-1/recorder' as const;
  // Version 0 of the settings has no workers, version 1 adds them.
  [[], workerIds].forEach((ids, version) =>
    push(0, {
      type: 'settingsTree',
      from,
      snapshot: { version, subtreeVersions: {}, tree: buildTree(ids, workspaces) },
    }),
  );
  push(0, { type: 'tick' });
  return { state, push };
};
