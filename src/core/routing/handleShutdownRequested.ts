import type { Effect } from '../Effect.js';
import { refuse } from '../refuse.js';
import type { State } from '../State.js';
import { freeKey } from './freeKey.js';
import { refuseWaiting } from './refuseWaiting.js';

/** Returns waiting requests to their gateways, which ask the successor. */
export const handleShutdownRequested = (state: State): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  const { routing } = state;
  const waiting = [
    ...[...routing.queues.values()].flat(),
    ...routing.keyWaits.map((wait) => wait.request),
  ];
  routing.queues.clear();
  routing.keyWaits = [];
  return waiting.flatMap((request) => {
    if (request.keyId !== undefined) freeKey(state, request.keyId, request.requestId);
    return refuseWaiting(request, refuse('shutting-down'));
  });
};
