import { chooseDelay } from './chooseDelay.js';
import { closeLinkEnd } from './closeLinkEnd.js';
import { findLinkPartitionEnd } from './findLinkPartitionEnd.js';
import type { Link } from './Link.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';

const reconnectIntervalMs = 500;

const isReachable = (simulation: Simulation, link: Link): boolean =>
  link.ends.every((id) => {
    const node = simulation.nodes.get(id)!;
    return node.alive && node.pausedUntil <= simulation.now;
  }) && findLinkPartitionEnd(simulation, link) === null;

const openLink = (simulation: Simulation, link: Link): void => {
  closeLinkEnd(simulation, link, 0);
  closeLinkEnd(simulation, link, 1);
  link.generation += 1;
  link.open = [true, true];
  link.lastDueAt = [simulation.now, simulation.now];
  link.ends.forEach((id, side) => {
    const node = simulation.nodes.get(id)!;
    const peer = simulation.nodes.get(link.ends[side === 0 ? 1 : 0])!;
    pushEvent(simulation, node, node.processNumber, {
      type: 'linkOpened',
      node: peer.id,
      zone: peer.zone,
    });
  });
};

/** Reopens lost links periodically until the simulation ends. */
export const reconnectLinks = (simulation: Simulation): void => {
  simulation.links
    .filter((link) => !(link.open[0] && link.open[1]) && isReachable(simulation, link))
    .forEach((link) => openLink(simulation, link));
  schedule(
    simulation,
    simulation.now + chooseDelay(simulation, reconnectIntervalMs / 2, reconnectIntervalMs),
    () => reconnectLinks(simulation),
  );
};
