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

const exitIfDone = (state: State, isOverdue: boolean): Effect[] => {
  const { membership, requests } = state;
  const openCount = requests.exchanges.size + requests.pendingCommands.size;
  const hasUnrecorded = hasUnstoredRecords(state.usage);
  if (!isOverdue && (openCount > 0 || hasUnrecorded)) return [];
  membership.exited = true;
  // A goodbye states that all request counts are recorded. Without one, the schedulers record the
  // interval as unknown.
  const goodbyes = hasUnrecorded ? [] : sendGoodbyes(state);
  return [
    ...goodbyes,
    {
      type: 'log',
      level: 'info',
      code: 'shutdown_finished',
      fields: { open: openCount, unrecorded: hasUnrecorded },
    },
    { type: 'exit' },
  ];
};

/**
 * Advances a graceful shutdown: after `balancerDrainMs` for the load balancer to notice, it closes
 * the listener and waits for open requests. After `shutdownMs` it resets and logs those still open.
 */
export const drainGateway = (state: State, at: number, wall: number): Effect[] => {
  const { membership, timing, requests } = state;
  if (membership.drainingSince === null || membership.exited) return [];
  const elapsedMs = at - membership.drainingSince;
  if (elapsedMs < timing.balancerDrainMs) return [];
  const closeEffects: Effect[] = membership.listenerClosed ? [] : [{ type: 'closeListener' }];
  membership.listenerClosed = true;
  const isOverdue = elapsedMs >= timing.shutdownMs;
  const resets = isOverdue
    ? [...requests.exchanges.values()].flatMap((exchange) => resetExchange(state, exchange, at))
    : [];
  const flushEffects = requests.exchanges.size === 0 ? flushUsageCounts(state, wall) : [];
  return [
    ...closeEffects,
    ...resets,
    ...flushEffects,
    ...(flushEffects.length > 0 ? [] : exitIfDone(state, isOverdue)),
  ];
};
