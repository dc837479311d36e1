import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { failGangsOnWorker } from './failGangsOnWorker.js';

/** Stops the gangs on a worker whose process restarted, which ended all its tasks. */
export const handleWorkerRestarted = (state: State, event: EventOf<'workerRestarted'>): Effect[] =>
  failGangsOnWorker(state, event.workerId, event, true);
