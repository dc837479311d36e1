import type { Attempt } from './Attempt.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

/** Marks the caller's answer as whole and tells the gateway. */
export const finishAttempt = (
  world: World,
  node: WorldNode,
  life: number,
  attempt: Attempt,
): void => {
  // The relay ends with its process.
  if (!node.alive || node.life !== life) return;
  const { requestId, attemptId } = attempt;
  const caller = world.history.callers.get(requestId);
  const answer = caller?.responses.find((response) => response.type === 'answer');
  if (answer?.type === 'answer' && !attempt.aborted && caller?.goneAt === null) {
    answer.complete = true;
  }
  schedule(world, world.now, () =>
    pushEvent(world, node, life, { type: 'attemptEnded', requestId, attemptId }),
  );
};
