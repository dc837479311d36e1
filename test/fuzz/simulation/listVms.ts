import type { ListedVm } from '../../../src/core/membership/ListedVm.js';
import type { Simulation } from './Simulation.js';

/** Lists VMs and workers as they were some time ago, like the platform's list. */
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
