import { createState } from '../../../src/core/createState.js';
import { chooseDelay } from './chooseDelay.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

const tickEveryMs = 100;
const settingsDelayMs = 50;
const mostOffsetMs = 1_000_000;

const tick = (world: World, node: WorldNode, life: number): void => {
  if (!node.alive || node.life !== life) return;
  pushEvent(world, node, life, { type: 'tick' });
  schedule(world, world.now + tickEveryMs, () => tick(world, node, life));
};

/** Starts a process: a new state, a new clock offset, ticks, and the tree from the recorder. */
export const startNode = (world: World, node: WorldNode): void => {
  const [vmId, role] = [node.vmId, node.state.self.role];
  node.life += 1;
  node.alive = true;
  node.pausedUntil = 0;
  node.queue = [];
  node.listening = true;
  node.attempts = new Map();
  node.clock.offsetMs = chooseDelay(world, 0, mostOffsetMs);
  node.state = createState(
    { vmId, zone: node.zone, role, incarnation: `i${node.life}` },
    'root-hash',
  );
  const { life } = node;
  schedule(world, world.now + chooseDelay(world, 1, tickEveryMs), () => tick(world, node, life));
  // With recorders, the tree comes from them.
  if (world.nodes.has(`${vmId}/recorder`)) return;
  schedule(world, world.now + settingsDelayMs, () =>
    pushEvent(world, node, life, {
      type: 'settingsTree',
      from: `${vmId}/recorder`,
      snapshot: world.snapshot,
    }),
  );
};
