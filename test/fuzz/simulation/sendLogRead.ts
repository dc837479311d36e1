import type { Effect } from '../../../src/core/Effect.js';
import { chooseDelay } from './chooseDelay.js';
import { isLogReachable } from './isLogReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const maxDelayMs = 40;
const pollIntervalMs = 50;
// Connect timeout, or the margin after the end of the long poll.
const failureDelayMs = 1000;

/** Sends a read of a stream, a long poll, to the fake log. */
export const sendLogRead = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<Effect, { type: 'readLog' }>,
): void => {
  const { readId, stream, fromOffset, limit, waitMs } = effect;
  const { processNumber } = node;
  const waitEndsAt = simulation.now + waitMs;
  const fail = (): void =>
    schedule(simulation, simulation.now + failureDelayMs, () =>
      pushEvent(simulation, node, processNumber, {
        type: 'logReadFailed',
        readId,
        stream,
        error: 'log failed',
      }),
    );
  const poll = (): void => {
    if (!isLogReachable(simulation, node)) {
      fail();
      return;
    }
    const records = (simulation.log.streams.get(stream) ?? []).slice(
      fromOffset,
      fromOffset + limit,
    );
    if (records.length === 0 && simulation.now < waitEndsAt) {
      schedule(simulation, simulation.now + pollIntervalMs, poll);
      return;
    }
    const nextOffset = fromOffset + records.length;
    schedule(simulation, simulation.now + chooseDelay(simulation, 1, maxDelayMs), () => {
      if (!isLogReachable(simulation, node)) fail();
      else {
        pushEvent(simulation, node, processNumber, {
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
  schedule(simulation, simulation.now + chooseDelay(simulation, 1, maxDelayMs), poll);
};
