import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { failGangsOnWorker } from './failGangsOnWorker.js';

/** Stops the gangs on a lost worker; a worker released during a shutdown keeps its gangs. */
export const handleWorkerLost = (state: State, event: EventOf<'workerLost'>): Effect[] => {
  const isShuttingDown = state.membership.drainingSince !== null;
  return isShuttingDown ? [] : failGangsOnWorker(state, event.workerId, event, false);
};
