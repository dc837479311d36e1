import { recordCallerResponse } from './recordCallerResponse.js';
import { finishAttempt } from './finishAttempt.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

/** Relays the answer of an attempt to its caller. */
export const relayAnswer = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: { requestId: string; attemptId: string },
): void => {
  const attempt = node.attempts.get(effect.attemptId);
  const headers = attempt?.phase === 'headers' ? attempt : null;
  recordCallerResponse(simulation, effect.requestId, {
    type: 'answer',
    at: simulation.now,
    status: headers?.status ?? 0,
    servedRequestId: headers?.requestId ?? null,
    complete: false,
  });
  if (!attempt) return;
  attempt.relayed = true;
  if (attempt.complete) finishAttempt(simulation, node, node.processNumber, attempt);
};
