import type { FakeWorker } from './FakeWorker.js';
import { findCutEnd } from './findCutEnd.js';
import { getWorkerPlace } from './getWorkerPlace.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

/** Tells whether a node's packets reach a worker's process now. */
export const isWorkerReachable = (world: World, node: WorldNode, worker: FakeWorker): boolean =>
  worker.downUntil <= world.now &&
  findCutEnd(world, { id: node.vmId, zone: node.zone }, getWorkerPlace(worker)) === null;
