import { closeLinkEnd } from './closeLinkEnd.js';
import { schedule } from './schedule.js';
import { traceStep } from './traceStep.js';
import { watchLinks } from './watchLinks.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

const resetCallers = (world: World, node: WorldNode): void =>
  world.history.callers.forEach((caller) => {
    const last = caller.responses.at(-1);
    const open = !last || (last.type === 'answer' && !last.complete);
    if (caller.gateway !== node.id || caller.goneAt !== null || !open) return;
    caller.responses.push({ type: 'reset', at: world.now, byGateway: false });
  });

const closePeers = (world: World, node: WorldNode): void =>
  world.links
    .filter(({ ends }) => ends.includes(node.id))
    .forEach((link) => {
      const { generation } = link;
      const side = link.ends[0] === node.id ? 1 : 0;
      schedule(world, world.now + 1, () => {
        if (link.generation === generation) closeLinkEnd(world, link, side);
      });
    });

/**
 * Ends a process at once. Its peers see a reset, or only silence when the whole VM is gone.
 */
export const killNode = (world: World, node: WorldNode, seen: 'reset' | 'silence'): void => {
  if (!node.alive) return;
  traceStep(world, node.id, `process ends (${seen})`);
  node.alive = false;
  node.queue = [];
  resetCallers(world, node);
  if (seen === 'reset') closePeers(world, node);
  else watchLinks(world, ({ ends }) => ends.includes(node.id));
};
