import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { refuse } from '../refuse.js';
import type { State } from '../State.js';
import { askGrant } from './askGrant.js';
import type { AttemptPhase } from './AttemptPhase.js';
import type { Exchange } from './Exchange.js';
import { findAttempt } from './findAttempt.js';
import { noteUse } from './noteUse.js';
import { refuseExchange } from './refuseExchange.js';
import { releaseAttempt } from './releaseAttempt.js';
import { spendRetry } from './spendRetry.js';

type FailureHandler = (state: State, exchange: Exchange, at: number) => Effect[];

const avoidWorker = (exchange: Exchange): void => {
  if (exchange.workerId !== null) exchange.avoid.push(exchange.workerId);
};

const failUnsent: FailureHandler = (state, exchange, at) => {
  const release = releaseAttempt(exchange, 'not-sent', at);
  avoidWorker(exchange);
  if (!spendRetry(state)) {
    return [
      ...release,
      ...refuseExchange(state, exchange.requestId, refuse('retry-budget-spent', 'not-run', 1000)),
    ];
  }
  return [
    ...release,
    { type: 'countRetry', reason: 'attempt-not-sent' },
    ...askGrant(state, exchange, at),
  ];
};

const failSent: FailureHandler = (state, exchange, at) => {
  const release = releaseAttempt(exchange, 'unknown', at);
  avoidWorker(exchange);
  exchange.mayHaveRun = true;
  noteUse(state, exchange, 'unknown', at);
  if (exchange.idempotent && exchange.replayable && spendRetry(state)) {
    return [
      ...release,
      { type: 'countRetry', reason: 'attempt-outcome-unknown' },
      ...askGrant(state, exchange, at),
    ];
  }
  return [
    ...release,
    ...refuseExchange(state, exchange.requestId, refuse('outcome-unknown', 'unknown')),
  ];
};

const failAnswering: FailureHandler = (state, exchange, at) => {
  state.requests.exchanges.delete(exchange.requestId);
  noteUse(state, exchange, 'unknown', at);
  return [
    ...releaseAttempt(exchange, 'unknown', at),
    // A reset keeps a broken answer from looking whole to the caller.
    { type: 'resetCaller', requestId: exchange.requestId },
    { type: 'count', name: 'caller_reset' },
  ];
};

const failureHandlers: Record<AttemptPhase, FailureHandler> = {
  notSent: failUnsent,
  sent: failSent,
  headers: failAnswering,
};

/** Decides on a failed attempt by how far it had come. */
export const handleAttemptFailed = (state: State, event: EventOf<'attemptFailed'>): Effect[] => {
  const exchange = findAttempt(state, event);
  if (!exchange || exchange.phase === 'waiting' || exchange.phase === 'asking') return [];
  return failureHandlers[event.phase](state, exchange, event.at);
};
