import type { Now } from '../Now.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { OccurrencePlan } from '../plans/OccurrencePlan.js';
import { computeCriticalPathMs } from './computeCriticalPathMs.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Bands of ranks: a band always goes before the next.
const guaranteedBand = 0;
const normalBand = 1e9;
const priorityBand = 1e7;
const overdueBand = 1e10;
// A job may take this many times its objective and still be of use.
const overdueFactor = 3;

/** Ranks what waits by guarantee, priority and the time that is left; lower goes first. */
export const computeUnitRank = (
  plan: JobPlan,
  occurrence: OccurrencePlan,
  guaranteed: boolean,
  now: Now,
): Pick<PlacementUnit, 'rank' | 'slackMs'> => {
  const allSteps = plan.submission.definition.steps.map((step) => ({
    step,
    remaining: step.count,
  }));
  const objectiveMs = plan.stretch * computeCriticalPathMs(allSteps) + plan.targetLatencyMs;
  const eligibleAt = Math.max(plan.submission.acceptedAt, occurrence.dueAt);
  const ageMs = now.wall - eligibleAt;
  const remainingMs = computeCriticalPathMs(occurrence.steps);
  const slackMs = objectiveMs - ageMs - remainingMs;
  if (guaranteed) return { rank: guaranteedBand + slackMs, slackMs };
  const isOverdue = ageMs + remainingMs > objectiveMs * overdueFactor;
  const band = (isOverdue ? overdueBand : normalBand) + plan.priority * priorityBand;
  return { rank: band + slackMs, slackMs };
};
