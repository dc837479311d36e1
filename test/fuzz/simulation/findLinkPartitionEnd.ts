import { findPartitionEnd } from './findPartitionEnd.js';
import type { Link } from './Link.js';
import type { Simulation } from './Simulation.js';

/** Finds the simulation time at which a partition of a link ends; null if there is none. */
export const findLinkPartitionEnd = (simulation: Simulation, link: Link): number | null => {
  const [a, b] = link.ends.map((id) => simulation.nodes.get(id)!);
  return findPartitionEnd(
    simulation,
    { id: a!.vmId, zone: a!.zone },
    { id: b!.vmId, zone: b!.zone },
  );
};
