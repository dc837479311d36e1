import type { Effect } from '../Effect.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import { checkRuns } from '../runs/checkRuns.js';
import type { State } from '../State.js';

// Longest time between placement passes; well below the permitted delay of a scheduled start.
const placementIntervalMs = 250;

const tickTerm = (state: State, now: Now): Effect[] => {
  const { term } = state;
  if (!term || term.phase === 'fencing' || term.phase === 'reading') return [];
  // Due times, lease expiries and the ends of quarantines cause no event.
  if (now.at - term.lastPlacementAt >= placementIntervalMs) term.placementDue = true;
  return checkRuns(state, term, now);
};

/** Check the timeouts of a term and start periodic placement passes. */
export const termHandlers: HandlerTable = { tick: tickTerm };
