import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { isHeld } from '../../../src/core/ownership/isHeld.js';
import { isLead } from '../../../src/core/ownership/isLead.js';
import { noteOverlap } from './noteOverlap.js';
import { readClock } from './readClock.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

// Only these can make a scheduler holder or lead; time alone ends leases.
const holdingEvents: ReadonlySet<string> = new Set([
  'leaseAnswered',
  'settingsTree',
  'settingsChanged',
]);

const listOthers = (world: World, node: WorldNode): WorldNode[] =>
  [...world.nodes.values()].filter(
    (other) =>
      other !== node &&
      other.alive &&
      other.zone === node.zone &&
      other.state.self.role === 'scheduler',
  );

const observeHolders = (world: World, node: WorldNode): void => {
  const { now } = world;
  const at = readClock(node.clock, now);
  const others = listOthers(world, node);
  node.state.ownership.leases.forEach((_lease, workerId) => {
    if (!isHeld(node.state, workerId, at)) return;
    others
      .filter((other) => isHeld(other.state, workerId, readClock(other.clock, now)))
      .forEach((other) => noteOverlap(world, 'worker', workerId, [node.id, other.id]));
  });
  if (!isLead(node.state, at)) return;
  others
    .filter((other) => isLead(other.state, readClock(other.clock, now)))
    .forEach((other) => noteOverlap(world, 'lead', node.zone, [node.id, other.id]));
};

/** Notes what a node believes after an event, for the oracle. */
export const observeNode = (
  world: World,
  node: WorldNode,
  event: UntimedEvent,
  versionBefore: number,
): void => {
  const to = node.state.settings.inForce?.version ?? -1;
  if (to < versionBefore) {
    world.history.reverts.push({ at: world.now, node: node.id, from: versionBefore, to });
  }
  if (node.state.self.role === 'scheduler' && holdingEvents.has(event.type)) {
    observeHolders(world, node);
  }
};
