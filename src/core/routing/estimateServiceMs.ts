import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';

const unknownServiceMs = 100;

/**
 * Estimates how long a worker serves a request of a class, in milliseconds: by its own average for
 * the class, else by the average of the class elsewhere scaled by the worker's speed.
 */
export const estimateServiceMs = (state: State, workerId: string, requestClass: string): number => {
  const load = getWorkerLoad(state, workerId);
  const own = load.meanMsByClass.get(requestClass);
  if (own !== undefined) return own;
  return state.routing.classMeanMs.get(requestClass) ?? load.meanMs ?? unknownServiceMs;
};
