import { answerCaller } from './answerCaller.js';
import { finishAttempt } from './finishAttempt.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

/** Lets the answer of an attempt through to its caller. */
export const relayAnswer = (
  world: World,
  node: WorldNode,
  effect: { requestId: string; attemptId: string },
): void => {
  const attempt = node.attempts.get(effect.attemptId);
  const headers = attempt?.phase === 'headers' ? attempt : null;
  answerCaller(world, effect.requestId, {
    type: 'answer',
    at: world.now,
    status: headers?.status ?? 0,
    servedRequestId: headers?.requestId ?? null,
    complete: false,
  });
  if (!attempt) return;
  attempt.relayed = true;
  if (attempt.complete) finishAttempt(world, node, node.life, attempt);
};
