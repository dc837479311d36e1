import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { sendPoll } from './sendPoll.js';
import type { Worker } from './Worker.js';

const isPollDue = (worker: Worker, now: Now): boolean =>
  worker.pollSentAt === null &&
  worker.address !== '' &&
  now.at >= worker.nextPollAt &&
  (worker.entry !== null || worker.tasks.size > 0);

/** Polls the workers whose next poll is due; called after each event. */
export const sendDuePolls = (state: State, term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  term.workers.forEach((worker) => {
    if (isPollDue(worker, now)) effects.push(...sendPoll(state, term, worker, now));
  });
  return effects;
};
