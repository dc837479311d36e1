import { killNode } from './killNode.js';
import { readClock } from './readClock.js';
import { restartNode } from './restartNode.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

const restartAfterMs = 2000;

const listOpen = (world: World, node: WorldNode): string[] =>
  [...world.history.callers.values()]
    .filter((caller) => caller.gateway === node.id && caller.goneAt === null)
    .filter(({ responses }) => {
      const last = responses.at(-1);
      return !last || (last.type === 'answer' && !last.complete);
    })
    .map((caller) => caller.requestId);

/** Ends a process that has drained; the VM starts another one. */
export const exitNode = (world: World, node: WorldNode): void => {
  const { drainingSince } = node.state.membership;
  const drainedMs = readClock(node.clock, world.now) - (drainingSince ?? Infinity);
  world.history.exits.push({
    at: world.now,
    node: node.id,
    drainedMs,
    open: listOpen(world, node),
  });
  killNode(world, node, 'reset');
  const { life } = node;
  schedule(world, world.now + restartAfterMs, () => {
    if (!node.alive && node.life === life) restartNode(world, node);
  });
};
