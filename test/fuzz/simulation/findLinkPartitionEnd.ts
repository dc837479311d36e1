import { findPartitionEnd } from './findPartitionEnd.js';
import type { Link } from './Link.js';
import type { Simulation } from './Simulation.js';

/** Returns the true time at which a cut of a link ends, or null if it is not cut. */
export const findLinkPartitionEnd = (simulation: Simulation, link: Link): number | null => {
  const [a, b] = link.ends.map((id) => simulation.nodes.get(id)!);
  return findPartitionEnd(
    simulation,
    { id: a!.vmId, zone: a!.zone },
    { id: b!.vmId, zone: b!.zone },
  );
};
