import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { grantFreeSlots } from './grantFreeSlots.js';
import { getWorkerLoad } from './getWorkerLoad.js';

/** Counts the attempts that a claimed worker already serves under its earlier holder. */
export const handleWorkerClaimed = (state: State, event: EventOf<'workerClaimed'>): Effect[] => {
  const load = getWorkerLoad(state, event.workerId);
  load.inheritedAttempts = new Set(
    event.report.activeRequests.filter((attemptId) => !state.routing.grants.has(attemptId)),
  );
  return grantFreeSlots(state, event.at);
};
