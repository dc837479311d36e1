import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { stopTask } from '../runs/stopTask.js';
import { isStalled } from './isStalled.js';
import type { Worker } from './Worker.js';

// A worker whose runs stand still gets no work for as long as it usually takes to recover.
const quarantineMs = 3000;

/** Stops the runs of a worker that stand still, so that they start elsewhere. */
export const stopStalledRuns = (term: Term, worker: Worker, now: Now): Effect[] => {
  // A silent worker shows no progress either; its lease decides.
  if (worker.failedPolls > 0) return [];
  const stalled = [...worker.tasks.values()].filter((task) => {
    const place = findTask(term, task.name);
    return place !== null && isStalled(place.step, task, now);
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
    ...stalled.flatMap((task) => stopTask(term, task, 'no-progress', now)),
  ];
};
