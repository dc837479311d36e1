import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { stopGang } from './stopGang.js';

/** Stops the other members of gangs that lost one; their starts that were not sent are taken back. */
export const stopIncompleteGangs = (term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  // Taking back a start notes its gang again, which by then has nothing more to stop.
  term.incompleteGangs.forEach((step) => {
    if (step.remaining > 0) effects.push(...stopGang(term, step, 'gang-incomplete', now));
  });
  term.incompleteGangs.clear();
  return effects;
};
