import type { State } from '../State.js';
import { isHeld } from './isHeld.js';

/** Counts the workers held at a monotonic time. O(workers of the zone). */
export const countHeld = (state: State, at: number): number =>
  [...state.ownership.leases.keys()].filter((workerId) => isHeld(state, workerId, at)).length;
