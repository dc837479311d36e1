import type { FakeWorker } from './FakeWorker.js';
import { findPartitionEnd } from './findPartitionEnd.js';
import { getWorkerLocation } from './getWorkerLocation.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

/** Tells whether a worker's process is running and reachable from a node. */
export const isWorkerReachable = (
  simulation: Simulation,
  node: SimulatedNode,
  worker: FakeWorker,
): boolean =>
  worker.downUntil <= simulation.now &&
  findPartitionEnd(simulation, { id: node.vmId, zone: node.zone }, getWorkerLocation(worker)) ===
    null;
