import type { Attempt } from './Attempt.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

/** Marks the caller's answer as complete and notifies the gateway. */
export const finishAttempt = (
  simulation: Simulation,
  node: SimulatedNode,
  processNumber: number,
  attempt: Attempt,
): void => {
  // Relaying stops with the process.
  if (!node.alive || node.processNumber !== processNumber) return;
  const { requestId, attemptId } = attempt;
  const caller = simulation.history.callers.get(requestId);
  const answer = caller?.responses.find((response) => response.type === 'answer');
  if (answer?.type === 'answer' && !attempt.aborted && caller?.disconnectedAt === null) {
    answer.complete = true;
  }
  schedule(simulation, simulation.now, () =>
    pushEvent(simulation, node, processNumber, { type: 'attemptEnded', requestId, attemptId }),
  );
};
