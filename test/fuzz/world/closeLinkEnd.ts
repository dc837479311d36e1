import { pushEvent } from './pushEvent.js';
import type { Link } from './Link.js';
import type { World } from './World.js';

/** Lets one end of a link notice that it is lost. */
export const closeLinkEnd = (world: World, link: Link, side: 0 | 1): void => {
  if (!link.open[side]) return;
  link.open[side] = false;
  const node = world.nodes.get(link.ends[side])!;
  pushEvent(world, node, node.life, { type: 'linkClosed', node: link.ends[side === 0 ? 1 : 0] });
};
