import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { failGangsOnWorker } from './failGangsOnWorker.js';

/** Reacts to a silent worker; a worker given back during a shutdown keeps its gangs. */
export const handleWorkerLost = (state: State, event: EventOf<'workerLost'>): Effect[] => {
  const isHandover = state.membership.drainingSince !== null;
  return isHandover ? [] : failGangsOnWorker(state, event.workerId, event, false);
};
