import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { StopReason } from '../plans/StopReason.js';
import type { Task } from '../plans/Task.js';
import { requeueTask } from './requeueTask.js';
import { sendStop } from './sendStop.js';

/** Stops a task's run, or withdraws a start that has not been sent yet. */
export const stopTask = (term: Term, task: Task, reason: StopReason, now: Now): Effect[] => {
  if (task.state === 'recording') return requeueTask(term, task, reason, now);
  const worker = term.workers.get(task.workerId);
  const isStoppable = task.state === 'starting' || task.state === 'running';
  if (!worker || !isStoppable) return [];
  const fields = {
    requestId: task.jobId,
    task: task.name,
    run: task.run,
    worker: worker.id,
    reason,
    state: task.state,
    heardMs: Math.round(now.at - worker.lastListedAt),
  };
  task.state = 'stopping';
  task.stateSince = now.at;
  return [
    { type: 'count', name: 'stops', reason },
    { type: 'log', level: 'info', code: 'run_stopping', fields },
    ...sendStop(term, worker, task, now),
  ];
};
