import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { isWorkerHeld } from '../../../src/core/ownership/isWorkerHeld.js';
import { isLead } from '../../../src/core/ownership/isLead.js';
import { recordOverlap } from './recordOverlap.js';
import { readClock } from './readClock.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

// Only these events can make a scheduler the holder of a worker or the lead of its zone. A lease
// can lapse without an event.
const holdingEvents: ReadonlySet<string> = new Set([
  'leaseAnswered',
  'settingsTree',
  'settingsChanged',
]);

const listOtherSchedulers = (simulation: Simulation, node: SimulatedNode): SimulatedNode[] =>
  [...simulation.nodes.values()].filter(
    (other) =>
      other !== node &&
      other.alive &&
      other.zone === node.zone &&
      other.state.self.role === 'scheduler',
  );

const recordOverlaps = (simulation: Simulation, node: SimulatedNode): void => {
  const { now } = simulation;
  const at = readClock(node.clock, now);
  const others = listOtherSchedulers(simulation, node);
  node.state.ownership.leases.forEach((_lease, workerId) => {
    if (!isWorkerHeld(node.state, workerId, at)) return;
    others
      .filter((other) => isWorkerHeld(other.state, workerId, readClock(other.clock, now)))
      .forEach((other) => recordOverlap(simulation, 'worker', workerId, [node.id, other.id]));
  });
  if (!isLead(node.state, at)) return;
  others
    .filter((other) => isLead(other.state, readClock(other.clock, now)))
    .forEach((other) => recordOverlap(simulation, 'lead', node.zone, [node.id, other.id]));
};

/** Records older trees and double holding after an event, for the oracle. */
export const observeNode = (
  simulation: Simulation,
  node: SimulatedNode,
  event: UntimedEvent,
  versionBefore: number,
): void => {
  const to = node.state.settings.inForce?.version ?? -1;
  if (to < versionBefore) {
    simulation.history.reverts.push({ at: simulation.now, node: node.id, from: versionBefore, to });
  }
  if (node.state.self.role === 'scheduler' && holdingEvents.has(event.type)) {
    recordOverlaps(simulation, node);
  }
};
