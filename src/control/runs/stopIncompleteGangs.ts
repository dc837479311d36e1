import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { stopGang } from './stopGang.js';

/** Stops the remaining members of gangs that lost one, and withdraws their unsent starts. */
export const stopIncompleteGangs = (term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  // Withdrawing a start marks its gang as incomplete again. Clearing that mark is safe, because by then
  // no member is left to stop.
  term.incompleteGangs.forEach((step) => {
    if (step.remaining > 0) effects.push(...stopGang(term, step, 'gang-incomplete', now));
  });
  term.incompleteGangs.clear();
  return effects;
};
