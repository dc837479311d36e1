import { reduce } from '../../src/core/reduce.js';
import type { NodeId } from '../../src/core/NodeId.js';
import type { State } from '../../src/core/State.js';
import { targetSize } from './targetSize.js';
import { fixedTime } from './fixedTime.js';

const formatVm = (index: number): string => `vm-${String(index).padStart(3, '0')}`;

/** Links a daemon to one daemon of each role on every VM; the first VM of a zone runs its lead. */
export const openLinks = (state: State, vms: number): void => {
  Array.from({ length: vms }, (_, index) => index).forEach((index) => {
    const zone = `zone-${String(index % targetSize.zones).padStart(2, '0')}`;
    (['gateway', 'scheduler', 'recorder'] as const).forEach((role) => {
      const node: NodeId = `${formatVm(index)}/${role}`;
      if (node === `${state.self.vmId}/${state.self.role}`) return;
      reduce(state, { type: 'linkOpened', node, zone, ...fixedTime });
      if (role !== 'scheduler') return;
      const lead = index < targetSize.zones;
      const held = { lead, heldWorkers: lead ? targetSize.zoneWorkers : 0, draining: false };
      const base = { zone, incarnation: 'a1b2c3d4', settingsVersion: 1, ...held };
      reduce(state, { type: 'heartbeat', ...base, from: node, ...fixedTime });
    });
  });
};
