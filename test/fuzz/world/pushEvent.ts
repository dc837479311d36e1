import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { epochWall } from './epochWall.js';
import { observeNode } from './observeNode.js';
import { readClock } from './readClock.js';
import { traceStep } from './traceStep.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

// Shown only where they matter; ticks and heartbeats would fill the trace.
const untracedTypes: ReadonlySet<string> = new Set(['tick', 'heartbeat', 'vmsListed']);
const tracedEffects: ReadonlySet<string> = new Set([
  'log',
  'dispatchAttempt',
  'relayAnswer',
  'refuseCaller',
  'resetCaller',
  'appendLog',
  'answerCommand',
  'exit',
]);

/** Gives a node an event: at once with the time of processing, or later if its process is stopped. */
export const pushEvent = (
  world: World,
  node: WorldNode,
  life: number,
  event: UntimedEvent,
): void => {
  if (!node.alive || node.life !== life) return;
  if (node.pausedUntil > world.now) {
    if (event.type !== 'tick') node.queue.push(event);
    return;
  }
  const before = node.state.settings.inForce?.version ?? -1;
  const at = readClock(node.clock, world.now);
  if (!untracedTypes.has(event.type)) traceStep(world, node.id, event);
  const timed = { ...event, at, wall: epochWall + world.now };
  const effects = world.reduce(node.state, timed);
  effects
    .filter((effect) => tracedEffects.has(effect.type))
    .forEach((effect) => traceStep(world, `${node.id} ->`, effect));
  observeNode(world, node, event, before);
  effects.forEach((effect) => world.runEffect(world, node, effect));
};
