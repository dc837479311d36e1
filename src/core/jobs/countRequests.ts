import type { State } from '../State.js';

/** Counts the slots of a worker that short requests use. */
export const countRequests = (state: State, workerId: string): number => {
  const load = state.routing.loads.get(workerId);
  return load ? load.grants.size + load.inherited.size : 0;
};
