import type { Effect } from '../Effect.js';
import { refuse } from '../refuse.js';
import type { State } from '../State.js';
import { freeKey } from './freeKey.js';
import { refuseWaiting } from './refuseWaiting.js';

/** Refuses requests whose deadline passed while they waited. O(requests waiting). */
export const expireWaiting = (state: State, at: number): Effect[] => {
  const effects: Effect[] = [];
  state.routing.queues.forEach((queue, workspace) => {
    const expired = queue.filter((request) => at >= request.deadlineAt);
    if (expired.length === 0) return;
    state.routing.queues.set(
      workspace,
      queue.filter((request) => at < request.deadlineAt),
    );
    expired.forEach((request) => {
      if (request.keyId !== undefined) freeKey(state, request.keyId, request.requestId);
      effects.push(...refuseWaiting(request, refuse('deadline-exceeded')));
    });
  });
  return effects;
};
