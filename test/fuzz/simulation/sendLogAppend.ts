import type { Effect } from '../../../src/core/Effect.js';
import { appendRecords } from './appendRecords.js';
import { chooseDelay } from './chooseDelay.js';
import { isLogReachable } from './isLogReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const maxDelayMs = 40;
const connectTimeoutMs = 1000;
const answerTimeoutMs = 5000;

/** Sends an append to the fake log; its answer may be lost after the append took effect. */
export const sendLogAppend = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<Effect, { type: 'appendLog' }>,
): void => {
  const { appendId, stream } = effect;
  const { processNumber } = node;
  const fail = (outcome: 'notSent' | 'unknown', afterMs: number): void =>
    schedule(simulation, simulation.now + afterMs, () =>
      pushEvent(simulation, node, processNumber, {
        type: 'logAppendFailed',
        appendId,
        stream,
        outcome,
        error: 'log failed',
      }),
    );
  if (!isLogReachable(simulation, node)) {
    fail('notSent', connectTimeoutMs);
    return;
  }
  const records = structuredClone(effect.records);
  schedule(simulation, simulation.now + chooseDelay(simulation, 1, maxDelayMs), () => {
    if (!isLogReachable(simulation, node)) {
      fail('unknown', answerTimeoutMs);
      return;
    }
    const firstOffset = appendRecords(simulation, stream, records);
    const lost = simulation.log.lostAnswersUntil > simulation.now;
    schedule(simulation, simulation.now + chooseDelay(simulation, 1, maxDelayMs), () => {
      if (lost || !isLogReachable(simulation, node)) fail('unknown', answerTimeoutMs);
      else
        pushEvent(simulation, node, processNumber, {
          type: 'logAppended',
          appendId,
          stream,
          firstOffset,
        });
    });
  });
};
