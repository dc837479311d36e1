import { abortCallerAppend } from '../callers/abortCallerAppend.js';
import { answerStoredCancels } from '../callers/answerStoredCancels.js';
import type { Effect } from '../Effect.js';
import { endTerm } from '../lead/endTerm.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import { buildLeaderRecord } from '../progress/buildLeaderRecord.js';
import { beginAppend } from '../progress/beginAppend.js';
import { createAppend } from '../progress/createAppend.js';
import { isWriterIdle } from '../progress/isWriterIdle.js';
import type { State } from '../State.js';

// The load balancer reacts after two failed checks one second apart; clients then need time to switch.
const minDrainMs = 3000;
// Part of the grace period that is reserved for the exit itself.
const exitMarginMs = 700;
// Time before the exit at which requests without an outcome are answered, so that the answers are still sent.
const answerMarginMs = 300;
// Longest wait for pending appends; after it the term ends without a resignation record.
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
    { type: 'drainConnections' },
  ];
};

/** Resigns leadership once no append is pending, so that a successor needn't wait for the timeout. */
const resignLeadership = (state: State, now: Now): Effect[] => {
  const { term, shutdownAt } = state;
  if (!term || shutdownAt === null) return [];
  if (!isWriterIdle(term.writers.journal) || !isWriterIdle(term.writers.runs)) {
    return now.at - shutdownAt > resignTimeoutMs ? endTerm(state, 'resigned', now) : [];
  }
  const unit = { jobId: null, records: [buildLeaderRecord(state, term)] };
  const resignation = createAppend('journal', [unit], now);
  return [...beginAppend(state, term, resignation, now), ...endTerm(state, 'resigned', now)];
};

/** Answers the requests that still wait for an append or a read, because the process ends before their deadline. */
const answerOpenRequests = (state: State, now: Now): Effect[] => {
  const answerLimitMs = state.bounds.graceMs - exitMarginMs - answerMarginMs;
  if (state.shutdownAt === null || now.at - state.shutdownAt < answerLimitMs) return [];
  return [
    ...[...state.callers.appendsByKey.values()].flatMap((append) =>
      abortCallerAppend(state, append, 'store-unanswered', now),
    ),
    ...answerStoredCancels(state, () => false, now),
  ];
};

const finishShutdown = (state: State, now: Now): Effect[] => {
  if (state.shutdownAt === null) return [];
  const passedMs = now.at - state.shutdownAt;
  const isDrained = state.callers.openRequests.size === 0 && passedMs >= minDrainMs;
  if (!isDrained && passedMs < state.bounds.graceMs - exitMarginMs) return [];
  const fields = { open: state.callers.openRequests.size, passedMs: Math.round(passedMs) };
  return [{ type: 'log', level: 'info', code: 'stopped', fields }, { type: 'exit' }];
};

/** Shut down without dropping requests: report not ready, resign leadership, drain, then exit. */
export const shutdownHandlers: HandlerTable = {
  shutdownRequested: startShutdown,
  tick: (state, event) => [
    ...resignLeadership(state, event),
    ...finishShutdown(state, event),
    ...answerOpenRequests(state, event),
  ],
};
