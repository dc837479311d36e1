import type { Effect } from '../Effect.js';
import { refuse } from '../refuse.js';
import type { State } from '../State.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';
import { findKeyZone } from './findKeyZone.js';
import { noteUse } from './noteUse.js';
import { refuseExchange } from './refuseExchange.js';
import { releaseAttempt } from './releaseAttempt.js';

type ExpiryHandler = (state: State, exchange: Exchange, at: number) => Effect[];

const isForeignKey = (state: State, exchange: Exchange): boolean =>
  exchange.idempotencyKey !== undefined &&
  !exchange.idempotent &&
  findKeyZone(state, exchange.workspace, exchange.idempotencyKey) !== state.self.zone;

const expireAsking: ExpiryHandler = (state, exchange) => {
  const reason = isForeignKey(state, exchange) ? 'key-home-unreachable' : 'no-scheduler';
  return refuseExchange(state, exchange.requestId, refuse(reason, 'not-run', 1000));
};

const expireWaiting: ExpiryHandler = (state, exchange) => {
  const { requestId, attempt, scheduler } = exchange;
  const refused = refuseExchange(state, requestId, refuse('deadline-exceeded'));
  if (scheduler === null) return refused;
  return [
    { type: 'send', to: scheduler, message: { type: 'cancelGrant', requestId, attempt } },
    ...refused,
  ];
};

const expireSent: ExpiryHandler = (state, exchange, at) => {
  const { requestId } = exchange;
  noteUse(state, exchange, 'unknown', at);
  return [
    { type: 'abortAttempt', requestId, attemptId: buildAttemptId(exchange) },
    ...releaseAttempt(exchange, 'unknown', at),
    ...refuseExchange(state, requestId, refuse('outcome-unknown', 'unknown')),
  ];
};

const expiryHandlers: Record<Exchange['phase'], ExpiryHandler> = {
  asking: expireAsking,
  waiting: expireWaiting,
  granted: expireSent,
  sent: expireSent,
  // The deadline bounds the wait for an answer; an answer that has begun may finish.
  answering: () => [],
};

/** Ends an exchange whose deadline has passed, truthfully for its phase. */
export const expireExchange = (state: State, exchange: Exchange, at: number): Effect[] =>
  expiryHandlers[exchange.phase](state, exchange, at);
