import { findCutEnd } from './findCutEnd.js';
import type { Link } from './Link.js';
import type { World } from './World.js';

/** Returns the true time at which a cut of a link ends, or null if it is not cut. */
export const findLinkCutEnd = (world: World, link: Link): number | null => {
  const [a, b] = link.ends.map((id) => world.nodes.get(id)!);
  return findCutEnd(world, { id: a!.vmId, zone: a!.zone }, { id: b!.vmId, zone: b!.zone });
};
