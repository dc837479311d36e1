import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { groupByRack } from './groupByRack.js';
import type { Pass } from './Pass.js';
import { planReclaim } from './planReclaim.js';
import type { Reclaim } from './Reclaim.js';
import type { Unit } from './Unit.js';

/** Chooses the cheapest way to make room for a guaranteed unit: a tight gang in one rack. */
export const chooseReclaim = (
  term: Term,
  pass: Pass,
  unit: Unit,
  guaranteed: Set<string>,
  workers: readonly Worker[],
  now: Now,
): Reclaim | null => {
  const { gang, sameRack } = unit.step.step;
  if (gang && sameRack) {
    const plans = [...groupByRack(workers).values()]
      .map((rack) => planReclaim(term, pass, unit, guaranteed, rack, now))
      .filter((plan) => plan !== null)
      .sort((a, b) => a.loss - b.loss);
    if (plans[0]) return plans[0];
  }
  return planReclaim(term, pass, unit, guaranteed, workers, now);
};
