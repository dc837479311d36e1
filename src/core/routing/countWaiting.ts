import type { State } from '../State.js';

/** Counts the requests that wait for a slot. */
export const countWaiting = (state: State): number =>
  [...state.routing.queues.values()].reduce((sum, queue) => sum + queue.length, 0);
