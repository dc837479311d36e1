import type { Message } from '../../../src/core/Message.js';
import type { NodeId } from '../../../src/core/NodeId.js';
import { chooseDelay } from './chooseDelay.js';
import { findLinkPartitionEnd } from './findLinkPartitionEnd.js';
import type { Link } from './Link.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const deliver = (simulation: Simulation, link: Link, side: 0 | 1, run: () => void): void => {
  const { generation } = link;
  const tryDelivery = (): void => {
    if (link.generation !== generation || !link.open[side]) return;
    const partitionEnd = findLinkPartitionEnd(simulation, link);
    if (partitionEnd === null) {
      run();
      return;
    }
    // Messages under way wait for the partition to end, in order, like TCP retransmissions.
    const dueAt = Math.max(partitionEnd + 1, link.lastDueAt[side]);
    link.lastDueAt[side] = dueAt;
    schedule(simulation, dueAt, tryDelivery);
  };
  const dueAt = Math.max(simulation.now + chooseDelay(simulation, 1, 20), link.lastDueAt[side]);
  link.lastDueAt[side] = dueAt;
  schedule(simulation, dueAt, tryDelivery);
};

/** Sends a message over the link to a node, if the sender considers the link open. */
export const sendMessage = (
  simulation: Simulation,
  from: SimulatedNode,
  to: NodeId,
  message: Message,
): void => {
  const link = simulation.links.find(({ ends }) => ends.includes(from.id) && ends.includes(to));
  const receiver = simulation.nodes.get(to);
  if (!link || !receiver) return;
  const side = link.ends[0] === to ? 0 : 1;
  if (!link.open[side === 0 ? 1 : 0]) return;
  const { processNumber } = receiver;
  // A copy, as after encoding: the receiver must not share objects with the sender.
  const copy = structuredClone(message);
  deliver(simulation, link, side, () =>
    pushEvent(simulation, receiver, processNumber, { ...copy, from: from.id }),
  );
};
