import type { Effect } from '../Effect.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import { checkRuns } from '../runs/checkRuns.js';
import type { State } from '../State.js';

// Well below the time by which a scheduled start may be late.
const placementIntervalMs = 250;

const tickTerm = (state: State, now: Now): Effect[] => {
  const { term } = state;
  if (!term || term.phase === 'fencing' || term.phase === 'reading') return [];
  // Due times, ends of leases and of pauses pass without an event of their own.
  if (now.at - term.lastPlacementAt >= placementIntervalMs) term.placementDue = true;
  return checkRuns(state, term, now);
};

/** Watches the times that matter to a term. */
export const termHandlers: HandlerTable = { tick: tickTerm };
