import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

/**
 * Abandons an attempt. The worker goes on; what was already on its way still reaches the daemon, and
 * so does the error of the broken connection. An attempt that is still connecting is not stopped.
 */
export const abortAttempt = (
  world: World,
  node: WorldNode,
  effect: { requestId: string; attemptId: string },
): void => {
  const { requestId, attemptId } = effect;
  const attempt = node.attempts.get(attemptId);
  if (!attempt || attempt.aborted || attempt.phase === 'notSent') return;
  attempt.aborted = true;
  const { life } = node;
  schedule(world, world.now, () =>
    pushEvent(world, node, life, {
      type: 'attemptFailed',
      requestId,
      attemptId,
      phase: attempt.phase,
      error: 'attempt was abandoned',
    }),
  );
};
