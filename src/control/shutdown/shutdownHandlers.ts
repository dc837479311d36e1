import type { Effect } from '../Effect.js';
import { endTerm } from '../lead/endTerm.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import { buildLeaderRecord } from '../progress/buildLeaderRecord.js';
import { createAppend } from '../progress/createAppend.js';
import { sendAppend } from '../progress/sendAppend.js';
import type { State } from '../State.js';

// The balancer notices after two checks, a second apart, and clients need time to move.
const minDrainMs = 3000;
// Kept free for the exit itself.
const exitMarginMs = 700;
// An open append is given this long before the term ends without a resignation.
const resignTimeoutMs = 500;

const startShutdown = (state: State, now: Now): Effect[] => {
  if (state.shutdownAt !== null) return [];
  state.shutdownAt = now.at;
  return [
    {
      type: 'log',
      level: 'info',
      code: 'shutdown_started',
      fields: { leads: state.term !== null },
    },
    { type: 'drainFront' },
  ];
};

/** Gives up the lead as soon as no append is open, so that a successor need not wait. */
const resignLeadership = (state: State, now: Now): Effect[] => {
  const { term, shutdownAt } = state;
  if (!term || shutdownAt === null) return [];
  if (term.writers.journal.pending || term.writers.runs.pending) {
    return now.at - shutdownAt > resignTimeoutMs ? endTerm(state, 'resigned', now) : [];
  }
  const write = createAppend(term, 'journal', [buildLeaderRecord(state, term)], now);
  return [...sendAppend(state, term, write), ...endTerm(state, 'resigned', now)];
};

const finishShutdown = (state: State, now: Now): Effect[] => {
  if (state.shutdownAt === null) return [];
  const passedMs = now.at - state.shutdownAt;
  const isDrained = state.callers.openRequests.size === 0 && passedMs >= minDrainMs;
  if (!isDrained && passedMs < state.bounds.graceMs - exitMarginMs) return [];
  const fields = { open: state.callers.openRequests.size, passedMs: Math.round(passedMs) };
  return [{ type: 'log', level: 'info', code: 'stopped', fields }, { type: 'exit' }];
};

/** Leaves without cutting a request: out of rotation first, then the lead, then the process. */
export const shutdownHandlers: HandlerTable = {
  shutdownRequested: startShutdown,
  tick: (state, event) => [...resignLeadership(state, event), ...finishShutdown(state, event)],
};
