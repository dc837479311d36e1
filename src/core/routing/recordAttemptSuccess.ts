import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import type { Grant } from './Grant.js';

/** Clears the failures of a worker and of a request class after an answer. */
export const recordAttemptSuccess = (state: State, grant: Grant): void => {
  const load = getWorkerLoad(state, grant.workerId);
  load.consecutiveFailures = 0;
  load.backoffMs = 0;
  load.suspectUntil = 0;
  state.routing.failedWorkersByClass.delete(grant.requestClass);
};
