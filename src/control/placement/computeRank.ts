import type { Now } from '../Now.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { OccurrencePlan } from '../plans/OccurrencePlan.js';
import { computeChainMs } from './computeChainMs.js';
import type { Unit } from './Unit.js';

// Bands of ranks: a band always goes before the next.
const guaranteedBand = 0;
const usualBand = 1e9;
const priorityBand = 1e7;
const hopelessBand = 1e10;
// A job may take this many times its objective and still be of use.
const lateFactor = 3;

/** Ranks what waits by guarantee, priority and the time that is left; lower goes first. */
export const computeRank = (
  plan: JobPlan,
  occurrence: OccurrencePlan,
  guaranteed: boolean,
  now: Now,
): Pick<Unit, 'rank' | 'slackMs'> => {
  const whole = plan.submission.definition.steps.map((step) => ({ step, remaining: step.count }));
  const objectiveMs = plan.stretch * computeChainMs(whole) + plan.targetMs;
  const begin = Math.max(plan.submission.acceptedAt, occurrence.dueAt);
  const ageMs = now.wall - begin;
  const leftMs = computeChainMs(occurrence.steps);
  const slackMs = objectiveMs - ageMs - leftMs;
  if (guaranteed) return { rank: guaranteedBand + slackMs, slackMs };
  const hopeless = ageMs + leftMs > objectiveMs * lateFactor;
  const band = (hopeless ? hopelessBand : usualBand) + plan.priority * priorityBand;
  return { rank: band + slackMs, slackMs };
};
