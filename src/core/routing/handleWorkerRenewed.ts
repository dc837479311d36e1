import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';

/** Removes inherited attempts that the worker has finished; adds none, because reports lag. */
export const handleWorkerRenewed = (state: State, event: EventOf<'workerRenewed'>): Effect[] => {
  const load = getWorkerLoad(state, event.workerId);
  if (load.inheritedAttempts.size === 0) return [];
  const active = new Set(event.report.activeRequests);
  load.inheritedAttempts = new Set(
    [...load.inheritedAttempts].filter((attemptId) => active.has(attemptId)),
  );
  return [];
};
