import type { Effect } from '../Effect.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';
import { findKeyHomeZone } from './findKeyHomeZone.js';
import { countUsage } from './countUsage.js';
import { refuseExchange } from './refuseExchange.js';
import { releaseGrant } from './releaseGrant.js';

type ExpiryHandler = (state: State, exchange: Exchange, at: number) => Effect[];

const isKeyOfOtherZone = (state: State, exchange: Exchange): boolean =>
  exchange.idempotencyKey !== undefined &&
  !exchange.idempotent &&
  findKeyHomeZone(state, exchange.workspace, exchange.idempotencyKey) !== state.self.zone;

const expireUnassigned: ExpiryHandler = (state, exchange) => {
  const reason = isKeyOfOtherZone(state, exchange) ? 'key-home-unreachable' : 'no-scheduler';
  return refuseExchange(state, exchange.requestId, createRefusal(reason, 'not-run', 1000));
};

const expireWaiting: ExpiryHandler = (state, exchange) => {
  const { requestId, attempt, scheduler } = exchange;
  const refusalEffects = refuseExchange(state, requestId, createRefusal('deadline-exceeded'));
  if (scheduler === null) return refusalEffects;
  return [
    { type: 'send', to: scheduler, message: { type: 'cancelGrant', requestId, attempt } },
    ...refusalEffects,
  ];
};

const expireDispatched: ExpiryHandler = (state, exchange, at) => {
  const { requestId } = exchange;
  countUsage(state, exchange, 'unknown', at);
  return [
    { type: 'abortAttempt', requestId, attemptId: buildAttemptId(exchange) },
    ...releaseGrant(exchange, 'unknown', at),
    ...refuseExchange(state, requestId, createRefusal('outcome-unknown', 'unknown')),
  ];
};

const expiryHandlers: Record<Exchange['phase'], ExpiryHandler> = {
  unassigned: expireUnassigned,
  waiting: expireWaiting,
  granted: expireDispatched,
  sent: expireDispatched,
  // The deadline limits the wait for the start of an answer; a started answer may finish.
  answering: () => [],
};

/** Ends an exchange whose deadline has passed, with the outcome that its phase allows to state. */
export const expireExchange = (state: State, exchange: Exchange, at: number): Effect[] =>
  expiryHandlers[exchange.phase](state, exchange, at);
