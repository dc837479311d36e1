import type { State } from '../State.js';
import { isWorkerHeld } from './isWorkerHeld.js';
import { listUndrainedWorkers } from './listUndrainedWorkers.js';

/**
 * Tells whether this scheduler holds more than half of its zone's registered workers that are not
 * drained. Any two majorities share a worker, so a zone has at most one lead. O(workers of the zone).
 */
export const isLead = (state: State, at: number): boolean => {
  const undrained = listUndrainedWorkers(state);
  const heldCount = undrained.filter((workerId) => isWorkerHeld(state, workerId, at)).length;
  return heldCount * 2 > undrained.length;
};
