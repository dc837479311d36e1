import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import type { Grant } from './Grant.js';

// Weight of the newest value in the moving averages.
const newestWeight = 0.2;

// Limits the effect of an outlier: one of 50 times the mean would make a short class look long and
// its worker slow. A lasting slowdown by a factor of 10 still shows after five answers.
const maxGrowthFactor = 4;

const updateMean = (old: number | null | undefined, value: number): number =>
  old === null || old === undefined
    ? value
    : old + newestWeight * (Math.min(value, maxGrowthFactor * old) - old);

/** Adds one answered attempt to the moving averages of service time. */
export const updateServiceTimes = (state: State, grant: Grant, elapsedMs: number): void => {
  const load = getWorkerLoad(state, grant.workerId);
  const { requestClass } = grant;
  load.completedRequests += 1;
  load.meanServiceMs = updateMean(load.meanServiceMs, elapsedMs);
  load.meanMsByClass.set(requestClass, updateMean(load.meanMsByClass.get(requestClass), elapsedMs));
  const { meanMsByClass } = state.routing;
  meanMsByClass.set(requestClass, updateMean(meanMsByClass.get(requestClass), elapsedMs));
};
