import type { Effect } from '../../../src/core/Effect.js';
import type { Attempt } from './Attempt.js';
import { chooseDelay } from './chooseDelay.js';
import type { FakeWorker } from './FakeWorker.js';
import { findWorkerByUrl } from './findWorkerByUrl.js';
import { isWorkerReachable } from './isWorkerReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { serveAttempt } from './serveAttempt.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

const connectTimeoutMs = 1000;
const mostTravelMs = 30;
const mostNoticeMs = 5000;

const sendAttempt = (
  world: World,
  node: WorldNode,
  life: number,
  worker: FakeWorker,
  attempt: Attempt,
): void => {
  const { requestId, attemptId } = attempt;
  const { incarnation } = worker;
  attempt.phase = 'sent';
  pushEvent(world, node, life, { type: 'attemptSent', requestId, attemptId });
  schedule(world, world.now + chooseDelay(world, 1, mostTravelMs), () => {
    if (isWorkerReachable(world, node, worker) && worker.incarnation === incarnation) {
      serveAttempt(world, node, life, worker, attempt);
      return;
    }
    schedule(world, world.now + chooseDelay(world, 1, mostNoticeMs), () =>
      pushEvent(world, node, life, {
        type: 'attemptFailed',
        requestId,
        attemptId,
        phase: 'sent',
        error: 'connection lost',
      }),
    );
  });
};

/** Connects to a worker and writes the request, or reports that the connection failed. */
export const dispatchAttempt = (
  world: World,
  node: WorldNode,
  effect: Extract<Effect, { type: 'dispatchAttempt' }>,
): void => {
  const { requestId, attemptId } = effect;
  const { life } = node;
  const worker = findWorkerByUrl(world, effect.url);
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
    if (!node.alive || node.life !== life) return;
    // A stopped process writes nothing; it goes on where it stopped.
    if (node.pausedUntil > world.now) {
      schedule(world, node.pausedUntil, connect);
    } else if (isWorkerReachable(world, node, worker)) {
      sendAttempt(world, node, life, worker, attempt);
    } else {
      schedule(world, world.now + connectTimeoutMs, () =>
        pushEvent(world, node, life, {
          type: 'attemptFailed',
          requestId,
          attemptId,
          phase: 'notSent',
          error: 'connect timeout',
        }),
      );
    }
  };
  schedule(world, world.now + chooseDelay(world, 0, 2), connect);
};
