import type { State } from '../State.js';
import { isHeld } from './isHeld.js';

/** Whether this scheduler holds most of its zone's workers. Cost: O(workers of the zone). */
export const isLead = (state: State, at: number): boolean => {
  const workers = state.settings.inForce?.tree.zones[state.self.zone]?.workers ?? {};
  const counted = Object.keys(workers).filter((id) => !workers[id]?.drained);
  return counted.filter((id) => isHeld(state, id, at)).length * 2 > counted.length;
};
