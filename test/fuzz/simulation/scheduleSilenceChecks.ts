import { chooseDelay } from './chooseDelay.js';
import { closeLinkEnd } from './closeLinkEnd.js';
import { findLinkPartitionEnd } from './findLinkPartitionEnd.js';
import type { Link } from './Link.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';

// Limits of the mesh adapter: silence of 2 s, looked at every 500 ms.
const leastSilenceMs = 2000;
const mostSilenceMs = 2500;

const isSilent = (simulation: Simulation, link: Link, side: 0 | 1): boolean => {
  const other = simulation.nodes.get(link.ends[side === 0 ? 1 : 0])!;
  return (
    !other.alive ||
    other.pausedUntil > simulation.now ||
    findLinkPartitionEnd(simulation, link) !== null
  );
};

/** Lets each end of the affected links notice silence that lasts; call it when a fault begins. */
export const scheduleSilenceChecks = (
  simulation: Simulation,
  isAffected: (link: Link) => boolean,
): void => {
  simulation.links.filter(isAffected).forEach((link) => {
    const { generation } = link;
    ([0, 1] as const).forEach((side) => {
      const noticeAt = simulation.now + chooseDelay(simulation, leastSilenceMs, mostSilenceMs);
      schedule(simulation, noticeAt, () => {
        if (link.generation === generation && isSilent(simulation, link, side)) {
          closeLinkEnd(simulation, link, side);
        }
      });
    });
  });
};
