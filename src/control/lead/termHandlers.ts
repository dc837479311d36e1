import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import { endTerm } from './endTerm.js';
import { checkRuns } from '../runs/checkRuns.js';
import type { State } from '../State.js';
import { updateHandover } from './updateHandover.js';

// Longest time between placement passes; well below the permitted delay of a scheduled start.
const placementIntervalMs = 250;

const tickTerm = (state: State, now: Now): Effect[] => {
  const { term } = state;
  if (!term || term.phase === 'fencing' || term.phase === 'reading') return [];
  // Due times, lease expiries and the ends of quarantines cause no event.
  if (now.at - term.lastPlacementAt >= placementIntervalMs) term.placementDue = true;
  return [...updateHandover(state, term, now), ...checkRuns(state, term, now)];
};

/**
 * After a failed handler, the state of the term may be half updated, so it ends; the next leader, maybe
 * this VM, builds its own from the store.
 */
const endDamagedTerm = (state: State, event: EventOf<'handlerFailed'>): Effect[] => [
  { type: 'count', name: 'handler_failures', reason: event.failedType },
  ...endTerm(state, 'internal-error', event),
];

/** Check the timeouts of a term, start periodic placement passes and end a term that may be damaged. */
export const termHandlers: HandlerTable = { tick: tickTerm, handlerFailed: endDamagedTerm };
