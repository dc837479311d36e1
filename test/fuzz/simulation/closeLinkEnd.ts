import { pushEvent } from './pushEvent.js';
import type { Link } from './Link.js';
import type { Simulation } from './Simulation.js';

/** Closes one end of a link, so that its node sees the link as lost. */
export const closeLinkEnd = (simulation: Simulation, link: Link, side: 0 | 1): void => {
  if (!link.open[side]) return;
  link.open[side] = false;
  const node = simulation.nodes.get(link.ends[side])!;
  pushEvent(simulation, node, node.processNumber, {
    type: 'linkClosed',
    node: link.ends[side === 0 ? 1 : 0],
  });
};
