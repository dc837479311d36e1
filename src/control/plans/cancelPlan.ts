import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { finishPlan } from './finishPlan.js';

/** Ends a job as cancelled. */
export const cancelPlan = (term: Term, id: string, now: Now): Effect[] => {
  const plan = term.plans.get(id);
  return plan ? finishPlan(term, plan, 'cancelled', now) : [];
};
