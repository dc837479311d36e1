import { startNode } from './startNode.js';
import { traceStep } from './traceStep.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

/** Starts a daemon's process again, with an empty memory. */
export const restartNode = (world: World, node: WorldNode): void => {
  if (node.alive) return;
  traceStep(world, node.id, 'process starts');
  world.links
    .filter(({ ends }) => ends.includes(node.id))
    .forEach((link) => {
      link.open[link.ends[0] === node.id ? 0 : 1] = false;
    });
  startNode(world, node);
};
