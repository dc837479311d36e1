import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { Term } from '../lead/Term.js';
import type { State } from '../State.js';
import type { Worker } from './Worker.js';

/** Handles a worker's answer to one type of call. */
export type AnswerHandler = (
  state: State,
  term: Term,
  worker: Worker,
  event: EventOf<'workerAnswered'>,
) => Effect[];
