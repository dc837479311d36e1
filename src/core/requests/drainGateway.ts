import type { Effect } from '../Effect.js';
import { getNodeRole } from '../getNodeRole.js';
import type { State } from '../State.js';
import { hasUnstoredRecords } from '../usage/hasUnstoredRecords.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';
import { flushUsageCounts } from './flushUsageCounts.js';
import { countUsage } from './countUsage.js';

const resetExchange = (state: State, exchange: Exchange, at: number): Effect[] => {
  state.requests.exchanges.delete(exchange.requestId);
  countUsage(state, exchange, 'unknown', at);
  const { requestId } = exchange;
  return [
    { type: 'abortAttempt', requestId, attemptId: buildAttemptId(exchange) },
    { type: 'resetCaller', requestId },
    { type: 'count', name: 'caller_reset' },
    { type: 'log', level: 'warn', code: 'request_cut_at_shutdown', fields: { requestId } },
  ];
};

const sendGoodbyes = (state: State): Effect[] =>
  [...state.membership.peers.values()]
    .filter((peer) => peer.linked && getNodeRole(peer.node) === 'scheduler')
    .map((peer) => ({ type: 'send', to: peer.node, message: { type: 'goodbye' } }));

const exitIfDone = (state: State, late: boolean): Effect[] => {
  const { membership, requests } = state;
  const open = requests.exchanges.size + requests.pendingCommands.size;
  const unrecorded = hasUnstoredRecords(state.usage);
  if (!late && (open > 0 || unrecorded)) return [];
  membership.exited = true;
  // Only counts that the recorder holds are known; others stay unknown to the schedulers.
  const goodbyes = unrecorded ? [] : sendGoodbyes(state);
  return [
    ...goodbyes,
    { type: 'log', level: 'info', code: 'shutdown_finished', fields: { open, unrecorded } },
    { type: 'exit' },
  ];
};

/**
 * Advances a graceful shutdown: the balancer gets time to notice, then the listener closes, then
 * open requests finish. Requests beyond the bound are reset and reported.
 */
export const drainGateway = (state: State, at: number, wall: number): Effect[] => {
  const { membership, timing, requests } = state;
  if (membership.drainingSince === null || membership.exited) return [];
  const elapsed = at - membership.drainingSince;
  if (elapsed < timing.balancerDrainMs) return [];
  const close: Effect[] = membership.listenerClosed ? [] : [{ type: 'closeListener' }];
  membership.listenerClosed = true;
  const late = elapsed >= timing.shutdownMs;
  const resets = late
    ? [...requests.exchanges.values()].flatMap((exchange) => resetExchange(state, exchange, at))
    : [];
  const flush = requests.exchanges.size === 0 ? flushUsageCounts(state, wall) : [];
  return [...close, ...resets, ...flush, ...(flush.length > 0 ? [] : exitIfDone(state, late))];
};
