import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { traceStep } from './traceStep.js';
import { watchLinks } from './watchLinks.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

/** Stops a process for a while; what arrives meanwhile is processed, in order, when it goes on. */
export const stopNode = (world: World, node: WorldNode, durationMs: number): void => {
  if (!node.alive || node.pausedUntil > world.now) return;
  const { life } = node;
  traceStep(world, node.id, `process stopped for ${durationMs} ms`);
  node.pausedUntil = world.now + durationMs;
  watchLinks(world, ({ ends }) => ends.includes(node.id));
  schedule(world, node.pausedUntil, () => {
    if (node.life !== life) return;
    traceStep(world, node.id, 'process goes on');
    const waiting = node.queue;
    node.queue = [];
    waiting.forEach((event) => pushEvent(world, node, life, event));
  });
};
