import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { sendHold } from './sendHold.js';
import type { Worker } from './Worker.js';

const isDue = (worker: Worker, now: Now): boolean =>
  worker.holdSentAt === null &&
  worker.address !== '' &&
  now.at >= worker.nextHoldAt &&
  (worker.entry !== null || worker.tasks.size > 0);

/** Sends the looks that are due. */
export const driveHolds = (state: State, term: Term, now: Now): Effect[] =>
  [...term.workers.values()]
    .filter((worker) => isDue(worker, now))
    .flatMap((worker) => sendHold(state, term, worker, now));
