import type { Effect } from '../../../src/core/Effect.js';
import { chooseDelay } from './chooseDelay.js';
import { isLogReachable } from './isLogReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

const mostTravelMs = 40;
const pollMs = 50;
// Connect timeout, or the margin after the long poll.
const failAfterMs = 1000;

/** Reads a stream of the fake log with a long poll. */
export const callRead = (
  world: World,
  node: WorldNode,
  effect: Extract<Effect, { type: 'readLog' }>,
): void => {
  const { readId, stream, fromOffset, limit, waitMs } = effect;
  const { life } = node;
  const giveUpAt = world.now + waitMs;
  const fail = (): void =>
    schedule(world, world.now + failAfterMs, () =>
      pushEvent(world, node, life, { type: 'logReadFailed', readId, stream, error: 'log failed' }),
    );
  const look = (): void => {
    if (!isLogReachable(world, node)) {
      fail();
      return;
    }
    const records = (world.log.streams.get(stream) ?? []).slice(fromOffset, fromOffset + limit);
    if (records.length === 0 && world.now < giveUpAt) {
      schedule(world, world.now + pollMs, look);
      return;
    }
    const nextOffset = fromOffset + records.length;
    schedule(world, world.now + chooseDelay(world, 1, mostTravelMs), () => {
      if (!isLogReachable(world, node)) fail();
      else {
        pushEvent(world, node, life, {
          type: 'logRead',
          readId,
          stream,
          records: structuredClone(records),
          nextOffset,
          oldestOffset: 0,
        });
      }
    });
  };
  schedule(world, world.now + chooseDelay(world, 1, mostTravelMs), look);
};
