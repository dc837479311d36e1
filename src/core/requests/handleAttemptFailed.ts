import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { requestGrant } from './requestGrant.js';
import type { AttemptPhase } from './AttemptPhase.js';
import type { Exchange } from './Exchange.js';
import { findAttempt } from './findAttempt.js';
import { countUsage } from './countUsage.js';
import { refuseExchange } from './refuseExchange.js';
import { releaseGrant } from './releaseGrant.js';
import { takeRetry } from './takeRetry.js';

type FailureHandler = (state: State, exchange: Exchange, at: number) => Effect[];

const addAvoidedWorker = (exchange: Exchange): void => {
  if (exchange.workerId !== null) exchange.avoidedWorkers.push(exchange.workerId);
};

// The worker got nothing, so a request that is not idempotent is retried too.
const handleUnsent: FailureHandler = (state, exchange, at) => {
  const releaseEffects = releaseGrant(exchange, 'not-sent', at);
  addAvoidedWorker(exchange);
  if (!takeRetry(state)) {
    return [
      ...releaseEffects,
      ...refuseExchange(
        state,
        exchange.requestId,
        createRefusal('retry-budget-spent', 'not-run', 1000),
      ),
    ];
  }
  return [
    ...releaseEffects,
    { type: 'countRetry', reason: 'attempt-not-sent' },
    ...requestGrant(state, exchange, at),
  ];
};

const handleSent: FailureHandler = (state, exchange, at) => {
  const releaseEffects = releaseGrant(exchange, 'unknown', at);
  addAvoidedWorker(exchange);
  exchange.mayHaveRun = true;
  countUsage(state, exchange, 'unknown', at);
  if (exchange.idempotent && exchange.replayable && takeRetry(state)) {
    return [
      ...releaseEffects,
      { type: 'countRetry', reason: 'attempt-outcome-unknown' },
      ...requestGrant(state, exchange, at),
    ];
  }
  return [
    ...releaseEffects,
    ...refuseExchange(state, exchange.requestId, createRefusal('outcome-unknown', 'unknown')),
  ];
};

const handleBrokenAnswer: FailureHandler = (state, exchange, at) => {
  state.requests.exchanges.delete(exchange.requestId);
  countUsage(state, exchange, 'unknown', at);
  return [
    ...releaseGrant(exchange, 'unknown', at),
    // Without a reset, the caller could take the truncated answer for a complete one.
    { type: 'resetCaller', requestId: exchange.requestId },
    { type: 'count', name: 'caller_reset' },
  ];
};

const failureHandlers: Record<AttemptPhase, FailureHandler> = {
  notSent: handleUnsent,
  sent: handleSent,
  headers: handleBrokenAnswer,
};

/** Retries or refuses after a failed attempt, depending on how far it got. */
export const handleAttemptFailed = (state: State, event: EventOf<'attemptFailed'>): Effect[] => {
  const exchange = findAttempt(state, event);
  if (!exchange || exchange.phase === 'waiting' || exchange.phase === 'unassigned') return [];
  return failureHandlers[event.phase](state, exchange, event.at);
};
