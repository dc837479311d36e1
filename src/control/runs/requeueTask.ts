import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { Task } from '../plans/Task.js';
import { noteUsage } from '../usage/noteUsage.js';
import { freeTask } from '../workers/freeTask.js';
import type { RequeueCause } from './RequeueCause.js';

// The run may have been under way, and its end was not seen.
const unseenEnds: readonly RequeueCause[] = [
  'worker-restarted',
  'worker-left',
  'lease-over',
  'not-listed',
];

/** Frees a run's room and lets its task wait again; its gang is noted, so that it stops as a whole. */
export const requeueTask = (term: Term, task: Task, cause: RequeueCause, now: Now): Effect[] => {
  const worker = term.workers.get(task.workerId);
  if (worker) freeTask(worker, task);
  if (worker && unseenEnds.includes(cause)) {
    const unseenMs = now.at - worker.lastListedAt;
    noteUsage(term, task, 'unknown', { at: now.at, unseenMs }, now);
  }
  task.startedAt = null;
  term.placementDue = true;
  if (task.state === 'done') return [];
  const fields = {
    requestId: task.jobId,
    task: task.name,
    run: task.run,
    worker: task.workerId,
    cause,
    state: task.state,
    failures: task.failures,
  };
  task.state = 'waiting';
  task.since = now.at;
  task.stopReason = null;
  task.stopSentAt = null;
  const log: Effect = { type: 'log', level: 'info', code: 'run_over', fields };
  const place = findTask(term, task.name);
  if (!place || place.step.remaining === 0 || isJobEnded(place.plan.state)) return [log];
  term.dirty.add(task.jobId);
  place.step.readySince = now.at;
  if (place.step.step.gang) term.brokenGangs.add(place.step);
  return [log];
};
