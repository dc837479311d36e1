import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { Task } from '../plans/Task.js';
import { hasLeft } from '../workers/hasLeft.js';
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

const findLossCause = (
  state: State,
  term: Term,
  worker: Worker,
  now: Now,
): 'worker-left' | 'lease-over' | null => {
  if (hasLeft(state, worker)) return 'worker-left';
  return isLeaseExpired(state, term, worker, now) ? 'lease-over' : null;
};

const requeueLostRuns = (
  term: Term,
  worker: Worker,
  cause: 'worker-left' | 'lease-over',
  now: Now,
): Effect[] =>
  [...worker.tasks.values()]
    .filter(({ state }) => state !== 'recording')
    .flatMap((task) => requeueTask(term, task, cause, now));

/** Retries unanswered stops, and requeues runs whose worker left or whose lease expired. */
export const checkRuns = (state: State, term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  term.workers.forEach((worker) => {
    if (worker.tasks.size === 0) return;
    const cause = findLossCause(state, term, worker, now);
    if (cause) effects.push(...requeueLostRuns(term, worker, cause, now));
    worker.tasks.forEach((task) => {
      if (isStopUnanswered(task, now)) effects.push(...sendStop(term, worker, task, now));
    });
  });
  return effects;
};
