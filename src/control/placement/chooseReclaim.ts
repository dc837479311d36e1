import type { Worker } from '../workers/Worker.js';
import { groupByRack } from './groupByRack.js';
import { planReclaim } from './planReclaim.js';
import type { Reclaim } from './Reclaim.js';
import type { ReclaimRequest } from './ReclaimRequest.js';

/** Chooses the cheapest way to make room for a guaranteed unit: a tight gang in one rack. */
export const chooseReclaim = (
  request: ReclaimRequest,
  workers: readonly Worker[],
): Reclaim | null => {
  const { gang, sameRack } = request.unit.step.step;
  if (gang && sameRack) {
    const plans = [...groupByRack(workers).values()]
      .map((rack) => planReclaim(request, rack))
      .filter((plan) => plan !== null)
      .sort((a, b) => a.loss - b.loss);
    if (plans[0]) return plans[0];
  }
  return planReclaim(request, workers);
};
