import { chooseDelay } from './chooseDelay.js';
import { closeLinkEnd } from './closeLinkEnd.js';
import { findLinkCutEnd } from './findLinkCutEnd.js';
import type { Link } from './Link.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';

// Limits of the mesh adapter: silence of 2 s, looked at every 500 ms.
const leastSilenceMs = 2000;
const mostSilenceMs = 2500;

const isSilent = (world: World, link: Link, side: 0 | 1): boolean => {
  const other = world.nodes.get(link.ends[side === 0 ? 1 : 0])!;
  return !other.alive || other.pausedUntil > world.now || findLinkCutEnd(world, link) !== null;
};

/** Lets each end of the affected links notice silence that lasts; call it when a fault begins. */
export const watchLinks = (world: World, isAffected: (link: Link) => boolean): void => {
  world.links.filter(isAffected).forEach((link) => {
    const { generation } = link;
    ([0, 1] as const).forEach((side) => {
      const noticeAt = world.now + chooseDelay(world, leastSilenceMs, mostSilenceMs);
      schedule(world, noticeAt, () => {
        if (link.generation === generation && isSilent(world, link, side)) {
          closeLinkEnd(world, link, side);
        }
      });
    });
  });
};
