import { findPartitionEnd } from './findPartitionEnd.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

/** Tells whether a node can reach the log and the log is available. */
export const isLogReachable = (simulation: Simulation, node: SimulatedNode): boolean =>
  simulation.log.outageUntil <= simulation.now &&
  findPartitionEnd(simulation, { id: node.vmId, zone: node.zone }, { id: 'log', zone: 'log' }) ===
    null;
