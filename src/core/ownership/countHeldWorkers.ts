import type { State } from '../State.js';
import { isWorkerHeld } from './isWorkerHeld.js';

/** Counts the workers held at a monotonic time. O(workers of the zone). */
export const countHeldWorkers = (state: State, at: number): number =>
  [...state.ownership.leases.keys()].filter((workerId) => isWorkerHeld(state, workerId, at)).length;
