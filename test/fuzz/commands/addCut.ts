import { watchLinks } from '../world/watchLinks.js';
import { findLinkCutEnd } from '../world/findLinkCutEnd.js';
import type { Cut } from '../world/Cut.js';
import type { World } from '../world/World.js';

/** Takes two sets of machines out of contact for a while. */
export const addCut = (world: World, sides: Cut['sides'], forMs: number): void => {
  world.cuts = world.cuts.filter((cut) => cut.until > world.now);
  world.cuts.push({ until: world.now + forMs, sides });
  watchLinks(world, (link) => findLinkCutEnd(world, link) !== null);
};
