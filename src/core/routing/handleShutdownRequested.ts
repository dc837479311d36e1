import type { Effect } from '../Effect.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { refuseRequest } from './refuseRequest.js';
import { removeRequests } from './removeRequests.js';

/** Refuses all waiting requests; their gateways then ask another scheduler. */
export const handleShutdownRequested = (state: State): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  return removeRequests(state, () => true).flatMap((request) =>
    refuseRequest(request, createRefusal('shutting-down')),
  );
};
