import type { Now } from '../Now.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { OccurrencePlan } from '../plans/OccurrencePlan.js';
import { computeCriticalPathMs } from './computeCriticalPathMs.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Offsets that separate rank bands, in milliseconds: a lower band always precedes a higher one.
const guaranteedBand = 0;
const normalBand = 1e9;
const bandPerPriority = 1e7;
const overdueBand = 1e10;
// A job that will exceed its objective by this factor is of no use any more and is placed last.
const overdueFactor = 3;

/** Ranks a unit by guarantee, priority and slack; lower ranks are placed first. */
export const computeUnitRank = (
  plan: JobPlan,
  occurrence: OccurrencePlan,
  guaranteed: boolean,
  now: Now,
): Pick<PlacementUnit, 'rank' | 'slackMs'> => {
  const allSteps = plan.submission.definition.steps.map((definition) => ({
    definition,
    remaining: definition.count,
  }));
  const objectiveMs = plan.stretch * computeCriticalPathMs(allSteps) + plan.targetLatencyMs;
  const eligibleAt = Math.max(plan.submission.acceptedAt, occurrence.dueAt);
  const ageMs = now.wall - eligibleAt;
  const remainingMs = computeCriticalPathMs(occurrence.steps);
  const slackMs = objectiveMs - ageMs - remainingMs;
  if (guaranteed) return { rank: guaranteedBand + slackMs, slackMs };
  const isOverdue = ageMs + remainingMs > objectiveMs * overdueFactor;
  const band = (isOverdue ? overdueBand : normalBand) + plan.priority * bandPerPriority;
  return { rank: band + slackMs, slackMs };
};
