import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

/**
 * Abandons an attempt. The worker continues. Events already under way and the error of the closed
 * connection still reach the daemon. An attempt that is still connecting is not stopped.
 */
export const abortAttempt = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: { requestId: string; attemptId: string },
): void => {
  const { requestId, attemptId } = effect;
  const attempt = node.attempts.get(attemptId);
  if (!attempt || attempt.aborted || attempt.phase === 'notSent') return;
  attempt.aborted = true;
  const { processNumber } = node;
  schedule(simulation, simulation.now, () =>
    pushEvent(simulation, node, processNumber, {
      type: 'attemptFailed',
      requestId,
      attemptId,
      phase: attempt.phase,
      error: 'attempt was abandoned',
    }),
  );
};
