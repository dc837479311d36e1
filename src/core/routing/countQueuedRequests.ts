import type { State } from '../State.js';

/** Counts the requests that wait for a slot. */
export const countQueuedRequests = (state: State): number =>
  [...state.routing.queuesByWorkspace.values()].reduce((sum, queue) => sum + queue.length, 0);
