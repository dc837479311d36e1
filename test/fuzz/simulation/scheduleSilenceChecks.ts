import { chooseDelay } from './chooseDelay.js';
import { closeLinkEnd } from './closeLinkEnd.js';
import { findLinkPartitionEnd } from './findLinkPartitionEnd.js';
import type { Link } from './Link.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';

// Limits of the mesh adapter: silence of 2 s, checked every 500 ms.
const minSilenceMs = 2000;
const maxSilenceMs = 2500;

const isSilent = (simulation: Simulation, link: Link, side: 0 | 1): boolean => {
  const other = simulation.nodes.get(link.ends[side === 0 ? 1 : 0])!;
  return (
    !other.alive ||
    other.pausedUntil > simulation.now ||
    findLinkPartitionEnd(simulation, link) !== null
  );
};

/** Closes each end of the affected links if silence lasts; called when a fault begins. */
export const scheduleSilenceChecks = (
  simulation: Simulation,
  isAffected: (link: Link) => boolean,
): void => {
  simulation.links.filter(isAffected).forEach((link) => {
    const { generation } = link;
    ([0, 1] as const).forEach((side) => {
      const checkAt = simulation.now + chooseDelay(simulation, minSilenceMs, maxSilenceMs);
      schedule(simulation, checkAt, () => {
        if (link.generation === generation && isSilent(simulation, link, side)) {
          closeLinkEnd(simulation, link, side);
        }
      });
    });
  });
};
