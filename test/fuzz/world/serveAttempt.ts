import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import type { Attempt } from './Attempt.js';
import { chooseDelay } from './chooseDelay.js';
import type { FakeWorker } from './FakeWorker.js';
import { finishAttempt } from './finishAttempt.js';
import { isWorkerReachable } from './isWorkerReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { traceStep } from './traceStep.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

const slowFactor = 5;
const mostTravelMs = 30;

type Push = (event: UntimedEvent, delayMs?: number) => void;

const answerAttempt = (
  world: World,
  target: { node: WorldNode; life: number; worker: FakeWorker; attempt: Attempt },
  push: Push,
): void => {
  const { node, life, worker, attempt } = target;
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
  const isIntact = (): boolean =>
    worker.incarnation === incarnation && isWorkerReachable(world, node, worker);
  const broken = worker.failing === 'reset' && worker.failingUntil > world.now;
  if (broken || !isIntact()) {
    fail();
    return;
  }
  attempt.status = worker.failing === 'status' && worker.failingUntil > world.now ? 500 : 200;
  attempt.phase = 'headers';
  push({ type: 'attemptHeaders', requestId, attemptId, status: attempt.status });
  schedule(world, world.now + chooseDelay(world, 1, mostTravelMs), () => {
    if (!isIntact()) {
      fail();
      return;
    }
    attempt.complete = true;
    if (attempt.relayed) finishAttempt(world, node, life, attempt);
  });
};

/** Runs a request on a worker, which accepts whatever it is given, and answers after its time. */
export const serveAttempt = (
  world: World,
  node: WorldNode,
  life: number,
  worker: FakeWorker,
  attempt: Attempt,
): void => {
  const { requestId, attemptId } = attempt;
  world.history.runs.push({ requestId, attemptId, workerId: worker.id, at: world.now });
  traceStep(world, `worker ${worker.id}`, `runs ${attemptId}`);
  worker.active.add(attemptId);
  const push: Push = (event) => {
    pushEvent(world, node, life, event);
    if (world.duplicateUntil > world.now) {
      schedule(world, world.now + chooseDelay(world, 0, 500), () =>
        pushEvent(world, node, life, event),
      );
    }
  };
  const serviceMs = world.history.callers.get(requestId)?.serviceMs ?? 1;
  const factor = worker.slowUntil > world.now ? slowFactor : 1;
  const { incarnation } = worker;
  schedule(world, world.now + serviceMs * factor, () => {
    if (worker.incarnation === incarnation) worker.active.delete(attemptId);
    answerAttempt(world, { node, life, worker, attempt }, push);
  });
};
