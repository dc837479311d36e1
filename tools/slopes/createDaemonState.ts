import { createState } from '../../src/core/createState.js';
import { reduce } from '../../src/core/reduce.js';
import type { Role } from '../../src/core/Role.js';
import type { State } from '../../src/core/State.js';
import { createTree } from './createTree.js';
import { targetSize } from './targetSize.js';
import type { TreeSize } from './TreeSize.js';
import { virtualTime } from './virtualTime.js';

const addHeldLease = (state: State, workerId: string): void => {
  state.ownership.leases.set(workerId, {
    workerId,
    status: 'held',
    renewedAt: virtualTime.at,
    callSentAt: null,
    nextCallAt: Infinity,
    freeSince: null,
    incarnation: 'a',
    leaving: false,
    soleHolder: true,
  });
  state.jobs.heardByWorker.set(workerId, virtualTime.at);
};

/**
 * Creates a daemon of zone-00 that has applied a tree; a scheduler holds every worker of its zone.
 * Without `zones` the tree is that of one zone, as if it were alone.
 */
export const createDaemonState = (role: Role, size: Partial<TreeSize> = {}): State => {
  const state = createState(
    { vmId: 'vm-000', zone: 'zone-00', role, incarnation: 'a1b2c3d4' },
    'h',
  );
  const { zoneWorkers, teams, workspacesPerTeam } = targetSize;
  const tree = createTree({ zones: 1, workers: zoneWorkers, teams, workspacesPerTeam, ...size });
  const workers = Object.keys(tree.zones['zone-00']?.workers ?? {});
  if (role === 'scheduler') workers.forEach((workerId) => addHeldLease(state, workerId));
  const snapshot = { version: 1, subtreeVersions: {}, tree };
  reduce(state, { type: 'settingsTree', from: 'vm-000/recorder', snapshot, ...virtualTime });
  reduce(state, { type: 'tick', ...virtualTime });
  return state;
};
