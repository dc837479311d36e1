import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';
import type { WorkerRefusal } from '../workers/WorkerRefusal.js';
import type { Worker } from '../workers/Worker.js';
import { requeueTask } from './requeueTask.js';

// How long a worker gets no work after it refused some, by reason; 0 is not at all.
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

/** Lets a task wait again whose start was refused; nothing of it ran. */
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
