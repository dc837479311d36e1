import { chooseDelay } from './chooseDelay.js';
import { closeLinkEnd } from './closeLinkEnd.js';
import { findLinkCutEnd } from './findLinkCutEnd.js';
import type { Link } from './Link.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';

const dialEveryMs = 500;

const isReachable = (world: World, link: Link): boolean =>
  link.ends.every((id) => {
    const node = world.nodes.get(id)!;
    return node.alive && node.pausedUntil <= world.now;
  }) && findLinkCutEnd(world, link) === null;

const openLink = (world: World, link: Link): void => {
  closeLinkEnd(world, link, 0);
  closeLinkEnd(world, link, 1);
  link.generation += 1;
  link.open = [true, true];
  link.lastDueAt = [world.now, world.now];
  link.ends.forEach((id, side) => {
    const node = world.nodes.get(id)!;
    const peer = world.nodes.get(link.ends[side === 0 ? 1 : 0])!;
    pushEvent(world, node, node.life, { type: 'linkOpened', node: peer.id, zone: peer.zone });
  });
};

/** Opens lost links again at intervals, for ever. */
export const dialLinks = (world: World): void => {
  world.links
    .filter((link) => !(link.open[0] && link.open[1]) && isReachable(world, link))
    .forEach((link) => openLink(world, link));
  schedule(world, world.now + chooseDelay(world, dialEveryMs / 2, dialEveryMs), () =>
    dialLinks(world),
  );
};
