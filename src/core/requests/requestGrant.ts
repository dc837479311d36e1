import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { chooseExchangeScheduler } from './chooseExchangeScheduler.js';
import type { Exchange } from './Exchange.js';

/**
 * Requests a grant for the next attempt; without a scheduler, the exchange becomes `unassigned`.
 */
export const requestGrant = (state: State, exchange: Exchange, at: number): Effect[] => {
  const peer = chooseExchangeScheduler(state, exchange, at);
  exchange.phase = 'unassigned';
  exchange.scheduler = null;
  if (!peer) return [];
  exchange.phase = 'waiting';
  exchange.scheduler = peer.node;
  exchange.grantRequestedAt = at;
  exchange.attempt += 1;
  return [
    {
      type: 'send',
      to: peer.node,
      message: {
        type: 'grantRequest',
        requestId: exchange.requestId,
        attempt: exchange.attempt,
        workspace: exchange.workspace,
        requestClass: exchange.requestClass,
        idempotent: exchange.idempotent,
        ...(exchange.idempotencyKey === undefined
          ? {}
          : { idempotencyKey: exchange.idempotencyKey }),
        timeoutMs: exchange.deadlineAt - at,
        avoid: exchange.avoidedWorkers,
      },
    },
  ];
};
