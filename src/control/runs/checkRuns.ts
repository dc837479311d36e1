import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { Task } from '../plans/Task.js';
import { isLeaseExpired } from '../workers/isLeaseExpired.js';
import type { Worker } from '../workers/Worker.js';
import { requeueTask } from './requeueTask.js';
import { sendStop } from './sendStop.js';

// Longer than a worker takes to answer a stop.
const stopRetryMs = 1000;

const isStopUnanswered = (task: Task, now: Now): boolean =>
  task.state === 'stopping' &&
  task.confirmedAt === Number.POSITIVE_INFINITY &&
  task.stopSentAt !== null &&
  now.at - task.stopSentAt > stopRetryMs;

const requeueLostRuns = (term: Term, worker: Worker, now: Now): Effect[] =>
  [...worker.tasks.values()]
    .filter(({ state }) => state !== 'recording')
    .flatMap((task) => requeueTask(term, task, 'lease-over', now));

/**
 * Retries unanswered stops, and requeues runs whose lease expired. A missing registry entry frees nothing: the worker
 * may be unable to write to the store and run on.
 */
export const checkRuns = (state: State, term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  term.workers.forEach((worker) => {
    if (worker.tasks.size === 0) return;
    if (isLeaseExpired(state, term, worker, now))
      effects.push(...requeueLostRuns(term, worker, now));
    worker.tasks.forEach((task) => {
      if (isStopUnanswered(task, now)) effects.push(...sendStop(term, worker, task, now));
    });
  });
  return effects;
};
