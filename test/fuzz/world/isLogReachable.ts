import { findCutEnd } from './findCutEnd.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

/** Tells whether a node reaches the log and the log works. */
export const isLogReachable = (world: World, node: WorldNode): boolean =>
  world.log.outageUntil <= world.now &&
  findCutEnd(world, { id: node.vmId, zone: node.zone }, { id: 'log', zone: 'log' }) === null;
