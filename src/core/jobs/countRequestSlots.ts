import type { State } from '../State.js';

/** Counts the slots of a worker that are in use by short requests. */
export const countRequestSlots = (state: State, workerId: string): number => {
  const load = state.routing.workerLoads.get(workerId);
  return load ? load.grantedAttempts.size + load.inheritedAttempts.size : 0;
};
