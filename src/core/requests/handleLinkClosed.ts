import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { failCommandsForNode } from './failCommandsForNode.js';

/** Asks again for requests that waited at a scheduler whose link was lost. O(open requests). */
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
