import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { requestGrant } from './requestGrant.js';
import { drainGateway } from './drainGateway.js';
import { expireCommands } from './expireCommands.js';
import { expireExchange } from './expireExchange.js';
import { flushUsageCounts } from './flushUsageCounts.js';

const flushIfDue = (state: State, at: number, wall: number): Effect[] => {
  if (at < state.requests.nextFlushAt) return [];
  state.requests.nextFlushAt = at + state.timing.usageCountMs;
  return flushUsageCounts(state, wall);
};

/**
 * Expires requests and commands, requests grants for unassigned requests, flushes usage counts and
 * advances a shutdown. O(open requests).
 */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  if (state.self.role !== 'gateway') return [];
  const { at, wall } = event;
  const exchanges = [...state.requests.exchanges.values()];
  const expired = exchanges.filter((exchange) => at >= exchange.deadlineAt);
  const unassigned = exchanges.filter(
    (exchange) => exchange.phase === 'unassigned' && at < exchange.deadlineAt,
  );
  return [
    ...expired.flatMap((exchange) => expireExchange(state, exchange, at)),
    ...unassigned.flatMap((exchange) => requestGrant(state, exchange, at)),
    ...expireCommands(state, at),
    ...flushIfDue(state, at, wall),
    { type: 'gauge', name: 'open_requests', value: state.requests.exchanges.size },
    ...drainGateway(state, at, wall),
  ];
};
