import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';
import type { Worker } from '../workers/Worker.js';
import { buildStopCall } from './buildStopCall.js';

/** Sends a stop to a worker; the run's resources stay allocated until its end is listed. */
export const sendStop = (term: Term, worker: Worker, task: Task, now: Now): Effect[] => {
  task.stopSentAt = now.at;
  task.confirmedAt = Number.POSITIVE_INFINITY;
  return [buildStopCall(term, worker, task.name, task.run)];
};
