import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import type { Grant } from './Grant.js';

const newestShare = 0.2;

// One straggler of 50 times the mean would make a short class look long and its worker slow. A real
// slowdown by 10 still shows after five answers.
const maxFactor = 4;

const blend = (old: number | null | undefined, value: number): number =>
  old === null || old === undefined
    ? value
    : old + newestShare * (Math.min(value, maxFactor * old) - old);

/** Updates the moving averages of service time with one answered attempt. */
export const updateServiceTimes = (state: State, grant: Grant, elapsedMs: number): void => {
  const load = getWorkerLoad(state, grant.workerId);
  const { requestClass } = grant;
  load.completedRequests += 1;
  load.meanServiceMs = blend(load.meanServiceMs, elapsedMs);
  load.meanMsByClass.set(requestClass, blend(load.meanMsByClass.get(requestClass), elapsedMs));
  const { meanMsByClass: classMeanMs } = state.routing;
  classMeanMs.set(requestClass, blend(classMeanMs.get(requestClass), elapsedMs));
};
