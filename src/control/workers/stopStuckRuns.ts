import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { stopTask } from '../runs/stopTask.js';
import { isStuck } from './isStuck.js';
import type { Worker } from './Worker.js';

// A worker whose runs stand still gets no work for as long as it usually takes to recover.
const asideMs = 3000;

/** Stops the runs of a worker that stand still, so that they start elsewhere. */
export const stopStuckRuns = (term: Term, worker: Worker, now: Now): Effect[] => {
  // A silent worker shows no progress either; its lease decides.
  if (worker.failures > 0) return [];
  const stuck = [...worker.tasks.values()].filter((task) => {
    const place = findTask(term, task.name);
    return place !== null && isStuck(place.step, task, now);
  });
  if (stuck.length === 0) return [];
  worker.asideUntil = Math.max(worker.asideUntil, now.at + asideMs);
  const fields = { worker: worker.id, stuck: stuck.length, tasks: worker.tasks.size, asideMs };
  return [
    { type: 'count', name: 'workers_set_aside', reason: 'no-progress' },
    { type: 'log', level: 'warn', code: 'worker_set_aside', fields },
    ...stuck.flatMap((task) => stopTask(term, task, 'no-progress', now)),
  ];
};
