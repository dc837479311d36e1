import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';
import type { WorkerRefusal } from '../workers/WorkerRefusal.js';
import type { Worker } from '../workers/Worker.js';
import { requeueTask } from './requeueTask.js';

// How long a worker gets no new tasks after refusing a start, by reason; 0 means no backoff.
const backoffMs: Record<WorkerRefusal, number> = {
  fenced: 0,
  'old-run': 0,
  late: 100,
  'no-room': 400,
  'no-ticket': 1000,
  'other-instance': 500,
  invalid: 3000,
  unhealthy: 1500,
};

/** Requeues a task whose start was refused, so that it never ran. */
export const handleRefusedStart = (
  term: Term,
  worker: Worker,
  task: Task,
  reason: WorkerRefusal,
  now: Now,
): Effect[] => {
  worker.quarantinedUntil = Math.max(worker.quarantinedUntil, now.at + backoffMs[reason]);
  const fields = { requestId: task.jobId, task: task.name, run: task.run, worker: worker.id };
  return [
    { type: 'count', name: 'starts_refused', reason },
    { type: 'log', level: 'warn', code: 'start_refused', fields: { ...fields, reason } },
    ...requeueTask(term, task, reason, now),
  ];
};
