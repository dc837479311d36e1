import type { Effect } from '../../../src/core/Effect.js';
import { chooseDelay } from './chooseDelay.js';
import { isLogReachable } from './isLogReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const mostTravelMs = 40;
const pollMs = 50;
// Connect timeout, or the margin after the long poll.
const failAfterMs = 1000;

/** Reads a stream of the fake log with a long poll. */
export const sendLogRead = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<Effect, { type: 'readLog' }>,
): void => {
  const { readId, stream, fromOffset, limit, waitMs } = effect;
  const { processNumber } = node;
  const giveUpAt = simulation.now + waitMs;
  const fail = (): void =>
    schedule(simulation, simulation.now + failAfterMs, () =>
      pushEvent(simulation, node, processNumber, {
        type: 'logReadFailed',
        readId,
        stream,
        error: 'log failed',
      }),
    );
  const look = (): void => {
    if (!isLogReachable(simulation, node)) {
      fail();
      return;
    }
    const records = (simulation.log.streams.get(stream) ?? []).slice(
      fromOffset,
      fromOffset + limit,
    );
    if (records.length === 0 && simulation.now < giveUpAt) {
      schedule(simulation, simulation.now + pollMs, look);
      return;
    }
    const nextOffset = fromOffset + records.length;
    schedule(simulation, simulation.now + chooseDelay(simulation, 1, mostTravelMs), () => {
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
  schedule(simulation, simulation.now + chooseDelay(simulation, 1, mostTravelMs), look);
};
