import type { Effect } from '../../../src/core/Effect.js';
import { appendRecords } from './appendRecords.js';
import { chooseDelay } from './chooseDelay.js';
import { isLogReachable } from './isLogReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

const mostTravelMs = 40;
const connectTimeoutMs = 1000;
const answerTimeoutMs = 5000;

/** Sends an append to the fake log; its answer can be lost after the append took effect. */
export const callAppend = (
  world: World,
  node: WorldNode,
  effect: Extract<Effect, { type: 'appendLog' }>,
): void => {
  const { appendId, stream } = effect;
  const { life } = node;
  const fail = (outcome: 'notSent' | 'unknown', afterMs: number): void =>
    schedule(world, world.now + afterMs, () =>
      pushEvent(world, node, life, {
        type: 'logAppendFailed',
        appendId,
        stream,
        outcome,
        error: 'log failed',
      }),
    );
  if (!isLogReachable(world, node)) {
    fail('notSent', connectTimeoutMs);
    return;
  }
  const records = structuredClone(effect.records);
  schedule(world, world.now + chooseDelay(world, 1, mostTravelMs), () => {
    if (!isLogReachable(world, node)) {
      fail('unknown', answerTimeoutMs);
      return;
    }
    const firstOffset = appendRecords(world, stream, records);
    const lost = world.log.lostAnswersUntil > world.now;
    schedule(world, world.now + chooseDelay(world, 1, mostTravelMs), () => {
      if (lost || !isLogReachable(world, node)) fail('unknown', answerTimeoutMs);
      else pushEvent(world, node, life, { type: 'logAppended', appendId, stream, firstOffset });
    });
  });
};
