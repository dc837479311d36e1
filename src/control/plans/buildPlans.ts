import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { addPlan } from './addPlan.js';
import { finishPlan } from './finishPlan.js';
import { restorePlan } from './restorePlan.js';

/** Builds the plans of all jobs that have not ended, at the start of a term. */
export const buildPlans = (state: State, term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  state.jobs.forEach((job) => {
    const plan = addPlan(state, job);
    if (!plan) return;
    restorePlan(term, plan, job.progress?.tasks ?? [], now);
    if (job.cancelled) effects.push(...finishPlan(term, plan, 'cancelled', now));
  });
  return effects;
};
