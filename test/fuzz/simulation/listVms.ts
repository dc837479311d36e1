import type { ListedVm } from '../../../src/core/membership/ListedVm.js';
import type { Simulation } from './Simulation.js';

/** Lists VMs and workers with their state of some time ago, like the platform's list. */
export const listVms = (simulation: Simulation, lagMs: number): ListedVm[] => [
  ...[...new Set([...simulation.nodes.values()].map((node) => node.vmId))].map((id): ListedVm => ({
    id,
    state: 'live',
  })),
  ...[...simulation.workers.values()].map(({ id, leftAt }): ListedVm => ({
    id,
    state: leftAt !== null && leftAt <= simulation.now - lagMs ? 'leaving' : 'live',
  })),
];
