import type { Effect } from '../Effect.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { freeKey } from './freeKey.js';
import { refuseRequest } from './refuseRequest.js';

/** Refuses requests whose deadline passed while they waited. O(waiting requests). */
export const expireQueuedRequests = (state: State, at: number): Effect[] => {
  const effects: Effect[] = [];
  state.routing.queuesByWorkspace.forEach((queue, workspace) => {
    const expired = queue.filter((request) => at >= request.deadlineAt);
    if (expired.length === 0) return;
    state.routing.queuesByWorkspace.set(
      workspace,
      queue.filter((request) => at < request.deadlineAt),
    );
    expired.forEach((request) => {
      if (request.keyId !== undefined) freeKey(state, request.keyId, request.requestId);
      effects.push(...refuseRequest(request, createRefusal('deadline-exceeded')));
    });
  });
  return effects;
};
