import { createState } from '../../src/core/createState.js';
import { reduce } from '../../src/core/reduce.js';
import type { Role } from '../../src/core/Role.js';
import type { State } from '../../src/core/State.js';
import { createSettingsTree } from './createSettingsTree.js';
import { targetSize } from './targetSize.js';
import type { SettingsTreeSize } from './SettingsTreeSize.js';
import { fixedTime } from './fixedTime.js';

const addHeldLease = (state: State, workerId: string): void => {
  state.ownership.leases.set(workerId, {
    workerId,
    status: 'held',
    renewalSentAt: fixedTime.at,
    callSentAt: null,
    nextCallAt: Infinity,
    claimableSince: null,
    incarnation: 'a',
    leaving: false,
    soleHolder: true,
  });
  state.jobs.lastHeardByWorker.set(workerId, fixedTime.at);
};

/**
 * Creates the state of a daemon in zone-00 that has applied a settings tree; a scheduler holds all
 * workers of its zone. Unless `zones` is given, the tree has only this zone.
 */
export const createDaemonState = (role: Role, size: Partial<SettingsTreeSize> = {}): State => {
  const state = createState(
    { vmId: 'vm-000', zone: 'zone-00', role, incarnation: 'a1b2c3d4' },
    'h',
  );
  const { zoneWorkers, teams, workspacesPerTeam } = targetSize;
  const tree = createSettingsTree({
    zones: 1,
    workers: zoneWorkers,
    teams,
    workspacesPerTeam,
    ...size,
  });
  const workers = Object.keys(tree.zones['zone-00']?.workers ?? {});
  if (role === 'scheduler') workers.forEach((workerId) => addHeldLease(state, workerId));
  const snapshot = { version: 1, subtreeVersions: {}, tree };
  reduce(state, { type: 'settingsTree', from: 'vm-000/recorder', snapshot, ...fixedTime });
  reduce(state, { type: 'tick', ...fixedTime });
  return state;
};
