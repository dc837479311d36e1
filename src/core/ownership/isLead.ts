import type { State } from '../State.js';
import { isWorkerHeld } from './isWorkerHeld.js';

/**
 * Tells whether this scheduler holds more than half of its zone's registered workers that are not
 * drained. Any two majorities share a worker, so a zone has at most one lead. Drained workers are
 * not counted, because they could keep a zone without a lead. O(workers of the zone).
 */
export const isLead = (state: State, at: number): boolean => {
  const workers = state.settings.inForce?.tree.zones[state.self.zone]?.workers ?? {};
  const undrained = Object.entries(workers).filter(([, worker]) => !worker.drained);
  const heldCount = undrained.filter(([workerId]) => isWorkerHeld(state, workerId, at)).length;
  return heldCount * 2 > undrained.length;
};
