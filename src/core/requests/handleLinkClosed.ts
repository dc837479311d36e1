import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { failCommandsForNode } from './failCommandsForNode.js';

/** Lets requests that waited for a disconnected scheduler request a new grant. O(open requests). */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  if (state.self.role !== 'gateway') return [];
  const waiting = [...state.requests.exchanges.values()].filter(
    (exchange) => exchange.phase === 'waiting' && exchange.scheduler === event.node,
  );
  waiting.forEach((exchange) => {
    exchange.phase = 'unassigned';
    exchange.scheduler = null;
  });
  return [
    ...waiting.map((): Effect => ({ type: 'countRetry', reason: 'lead-changed' })),
    ...failCommandsForNode(state, event.node),
  ];
};
