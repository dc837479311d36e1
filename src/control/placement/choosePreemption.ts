import type { Worker } from '../workers/Worker.js';
import { groupByRack } from './groupByRack.js';
import { planPreemption } from './planPreemption.js';
import type { PreemptionPlan } from './PreemptionPlan.js';
import type { PreemptionRequest } from './PreemptionRequest.js';

/** Plans the cheapest preemption for a guaranteed unit; prefers a single rack for a same-rack gang. */
export const choosePreemption = (
  request: PreemptionRequest,
  workers: readonly Worker[],
): PreemptionPlan | null => {
  const { gang, sameRack } = request.unit.step.definition;
  if (gang && sameRack) {
    const plans = [...groupByRack(workers).values()]
      .map((rack) => planPreemption(request, rack))
      .filter((plan) => plan !== null)
      .sort((a, b) => a.lostCoreMs - b.lostCoreMs);
    if (plans[0]) return plans[0];
  }
  return planPreemption(request, workers);
};
