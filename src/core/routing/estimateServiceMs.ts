import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';

// Assumed before any observation.
const defaultServiceMs = 100;

// Mean ratio of the worker's service time to that of all workers, over the classes that it served;
// 1 before its first answer.
const computeSlowdownFactor = (
  state: State,
  meanMsByClass: ReadonlyMap<string, number>,
): number => {
  const ratios = [...meanMsByClass].map(
    ([requestClass, meanMs]) => meanMs / (state.routing.meanMsByClass.get(requestClass) ?? meanMs),
  );
  return ratios.length === 0 ? 1 : ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
};

/**
 * Estimates a worker's service time for a class, in milliseconds: its own average for the class,
 * else the average over all workers multiplied by the worker's slowdown factor. O(classes that the
 * worker served).
 */
export const estimateServiceMs = (state: State, workerId: string, requestClass: string): number => {
  const load = getWorkerLoad(state, workerId);
  const observedMs = load.meanMsByClass.get(requestClass);
  if (observedMs !== undefined) return observedMs;
  const classMs = state.routing.meanMsByClass.get(requestClass);
  if (classMs === undefined) return load.meanServiceMs ?? defaultServiceMs;
  return classMs * computeSlowdownFactor(state, load.meanMsByClass);
};
