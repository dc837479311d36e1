import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import type { Attempt } from './Attempt.js';
import { chooseDelay } from './chooseDelay.js';
import type { FakeWorker } from './FakeWorker.js';
import { finishAttempt } from './finishAttempt.js';
import { isWorkerReachable } from './isWorkerReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const slowFactor = 5;
const maxDelayMs = 30;

type Push = (event: UntimedEvent, delayMs?: number) => void;

const sendAnswer = (
  simulation: Simulation,
  target: { node: SimulatedNode; processNumber: number; worker: FakeWorker; attempt: Attempt },
  push: Push,
): void => {
  const { node, processNumber, worker, attempt } = target;
  const { requestId, attemptId } = attempt;
  const fail = (): void =>
    push({
      type: 'attemptFailed',
      requestId,
      attemptId,
      phase: attempt.phase,
      error: 'connection reset',
    });
  const { incarnation } = worker;
  const isConnected = (): boolean =>
    worker.incarnation === incarnation && isWorkerReachable(simulation, node, worker);
  const resetsConnection = worker.failureMode === 'reset' && worker.failingUntil > simulation.now;
  if (resetsConnection || !isConnected()) {
    fail();
    return;
  }
  attempt.status =
    worker.failureMode === 'status' && worker.failingUntil > simulation.now ? 500 : 200;
  attempt.phase = 'headers';
  push({ type: 'attemptHeaders', requestId, attemptId, status: attempt.status });
  schedule(simulation, simulation.now + chooseDelay(simulation, 1, maxDelayMs), () => {
    if (!isConnected()) {
      fail();
      return;
    }
    attempt.complete = true;
    if (attempt.relayed) finishAttempt(simulation, node, processNumber, attempt);
  });
};

/** Runs a request on a worker, which accepts every request, and answers after the service time. */
export const serveAttempt = (
  simulation: Simulation,
  node: SimulatedNode,
  processNumber: number,
  worker: FakeWorker,
  attempt: Attempt,
): void => {
  const { requestId, attemptId } = attempt;
  simulation.history.requestRuns.push({
    requestId,
    attemptId,
    workerId: worker.id,
    at: simulation.now,
  });
  traceStep(simulation, `worker ${worker.id}`, `runs ${attemptId}`);
  worker.activeAttempts.add(attemptId);
  const push: Push = (event) => {
    pushEvent(simulation, node, processNumber, event);
    if (simulation.duplicateUntil > simulation.now) {
      schedule(simulation, simulation.now + chooseDelay(simulation, 0, 500), () =>
        pushEvent(simulation, node, processNumber, event),
      );
    }
  };
  const serviceMs = simulation.history.callers.get(requestId)?.serviceMs ?? 1;
  const factor = worker.slowUntil > simulation.now ? slowFactor : 1;
  const { incarnation } = worker;
  schedule(simulation, simulation.now + serviceMs * factor, () => {
    if (worker.incarnation === incarnation) worker.activeAttempts.delete(attemptId);
    sendAnswer(simulation, { node, processNumber, worker, attempt }, push);
  });
};
