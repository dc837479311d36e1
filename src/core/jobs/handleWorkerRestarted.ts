import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { failGangsOnWorker } from './failGangsOnWorker.js';

/** Reacts to a worker whose process restarted: all its tasks are gone. */
export const handleWorkerRestarted = (state: State, event: EventOf<'workerRestarted'>): Effect[] =>
  failGangsOnWorker(state, event.workerId, event, true);
