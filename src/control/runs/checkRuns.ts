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

const checkWorkerRuns = (state: State, term: Term, worker: Worker, now: Now): Effect[] => {
  if (worker.tasks.size === 0) return [];
  const tasks = [...worker.tasks.values()];
  const cause = findLossCause(state, term, worker, now);
  if (cause) {
    return tasks
      .filter(({ state: taskState }) => taskState !== 'recording')
      .flatMap((task) => requeueTask(term, task, cause, now));
  }
  return tasks
    .filter((task) => isStopUnanswered(task, now))
    .flatMap((task) => sendStop(term, worker, task, now));
};

/** Retries unanswered stops, and requeues runs whose worker left or whose lease expired. */
export const checkRuns = (state: State, term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  term.workers.forEach((worker) => effects.push(...checkWorkerRuns(state, term, worker, now)));
  return effects;
};
