import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { OccurrencePlan } from '../plans/OccurrencePlan.js';
import { addDueOccurrences } from '../plans/addDueOccurrences.js';
import type { StepPlan } from '../plans/StepPlan.js';
import { computeUnitRank } from './computeUnitRank.js';
import type { PlacementUnit } from './PlacementUnit.js';

const isStepReady = (occurrence: OccurrencePlan, step: StepPlan): boolean =>
  step.remaining > 0 &&
  step.definition.after.every((index) => occurrence.steps[index]?.remaining === 0);

const buildUnit = (
  plan: JobPlan,
  occurrence: OccurrencePlan,
  step: StepPlan,
  guaranteed: boolean,
  now: Now,
): PlacementUnit | null => {
  const tasks = step.tasks.filter(({ state }) => state === 'waiting');
  if (tasks.length === 0) return null;
  if (step.definition.gang && tasks.length < step.tasks.length) return null;
  return {
    plan,
    occurrence,
    step,
    tasks,
    guaranteed,
    ...computeUnitRank(plan, occurrence, guaranteed, now),
  };
};

/** Adds occurrences that are due, and lists the units that are ready to start by rank. */
export const collectUnits = (
  term: Term,
  guaranteedJobIds: Set<string>,
  now: Now,
): PlacementUnit[] => {
  const units: PlacementUnit[] = [];
  term.plans.forEach((plan) => {
    if (isJobEnded(plan.state) || term.refusedJobs.has(plan.id)) return;
    addDueOccurrences(plan, now);
    plan.occurrences.forEach((occurrence) => {
      occurrence.steps.forEach((step) => {
        if (!isStepReady(occurrence, step)) return;
        const unit = buildUnit(plan, occurrence, step, guaranteedJobIds.has(plan.id), now);
        if (unit) units.push(unit);
      });
    });
  });
  return units.sort((a, b) => a.rank - b.rank);
};
