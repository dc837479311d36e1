import type { Effect } from '../../../src/core/Effect.js';
import type { Attempt } from './Attempt.js';
import { chooseDelay } from './chooseDelay.js';
import type { FakeWorker } from './FakeWorker.js';
import { findWorkerByUrl } from './findWorkerByUrl.js';
import { isWorkerReachable } from './isWorkerReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { serveAttempt } from './serveAttempt.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const connectTimeoutMs = 1000;
const maxDelayMs = 30;
// Longest time after which a gateway notices that a sent request did not reach the worker.
const maxDetectionMs = 5000;

const sendAttempt = (
  simulation: Simulation,
  node: SimulatedNode,
  processNumber: number,
  worker: FakeWorker,
  attempt: Attempt,
): void => {
  const { requestId, attemptId } = attempt;
  const { incarnation } = worker;
  attempt.phase = 'sent';
  pushEvent(simulation, node, processNumber, { type: 'attemptSent', requestId, attemptId });
  schedule(simulation, simulation.now + chooseDelay(simulation, 1, maxDelayMs), () => {
    if (isWorkerReachable(simulation, node, worker) && worker.incarnation === incarnation) {
      serveAttempt(simulation, node, processNumber, worker, attempt);
      return;
    }
    schedule(simulation, simulation.now + chooseDelay(simulation, 1, maxDetectionMs), () =>
      pushEvent(simulation, node, processNumber, {
        type: 'attemptFailed',
        requestId,
        attemptId,
        phase: 'sent',
        error: 'connection lost',
      }),
    );
  });
};

/** Connects to a worker and sends the request, or reports that the connection failed. */
export const dispatchAttempt = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<Effect, { type: 'dispatchAttempt' }>,
): void => {
  const { requestId, attemptId } = effect;
  const { processNumber } = node;
  const worker = findWorkerByUrl(simulation, effect.url);
  const attempt: Attempt = {
    attemptId,
    requestId,
    workerId: worker.id,
    phase: 'notSent',
    status: 0,
    relayed: false,
    complete: false,
    aborted: false,
  };
  node.attempts.set(attemptId, attempt);
  const connect = (): void => {
    if (!node.alive || node.processNumber !== processNumber) return;
    // A paused process sends nothing; it continues where it was paused.
    if (node.pausedUntil > simulation.now) {
      schedule(simulation, node.pausedUntil, connect);
    } else if (isWorkerReachable(simulation, node, worker)) {
      sendAttempt(simulation, node, processNumber, worker, attempt);
    } else {
      schedule(simulation, simulation.now + connectTimeoutMs, () =>
        pushEvent(simulation, node, processNumber, {
          type: 'attemptFailed',
          requestId,
          attemptId,
          phase: 'notSent',
          error: 'connect timeout',
        }),
      );
    }
  };
  schedule(simulation, simulation.now + chooseDelay(simulation, 0, 2), connect);
};
