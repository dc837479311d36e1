import type { ListedVm } from '../../../src/core/membership/ListedVm.js';
import type { World } from './World.js';

/** Lists VMs and workers as they were some time ago, like the platform's list. */
export const listVms = (world: World, lagMs: number): ListedVm[] => [
  ...[...new Set([...world.nodes.values()].map((node) => node.vmId))].map((id): ListedVm => ({
    id,
    state: 'live',
  })),
  ...[...world.workers.values()].map(({ id, leftAt }): ListedVm => ({
    id,
    state: leftAt !== null && leftAt <= world.now - lagMs ? 'leaving' : 'live',
  })),
];
