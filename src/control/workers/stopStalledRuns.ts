import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { stopTask } from '../runs/stopTask.js';
import { isStalled } from './isStalled.js';
import type { Worker } from './Worker.js';

// A worker usually recovers from a stall within this time.
const quarantineMs = 3000;

/** Stops the stalled runs of a worker and quarantines it, so that they restart elsewhere. */
export const stopStalledRuns = (term: Term, worker: Worker, now: Now): Effect[] => {
  // A silent worker shows no progress either; its runs are requeued when its lease expires.
  if (worker.failedPolls > 0) return [];
  const stalled = [...worker.tasks.values()].filter((task) => {
    const location = findTask(term, task);
    return location !== null && isStalled(location.step, task, worker.lastListedAt);
  });
  if (stalled.length === 0) return [];
  worker.quarantinedUntil = Math.max(worker.quarantinedUntil, now.at + quarantineMs);
  const fields = {
    worker: worker.id,
    stuck: stalled.length,
    tasks: worker.tasks.size,
    asideMs: quarantineMs,
  };
  return [
    { type: 'count', name: 'workers_set_aside', reason: 'no-progress' },
    { type: 'log', level: 'warn', code: 'worker_set_aside', fields },
    ...stalled.flatMap((task) => {
      task.stalls += 1;
      return stopTask(term, task, 'no-progress', now);
    }),
  ];
};
