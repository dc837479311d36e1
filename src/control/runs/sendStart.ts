import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import type { Task } from '../plans/Task.js';
import { computeFencingToken } from '../workers/computeFencingToken.js';
import { estimateClock } from '../workers/estimateClock.js';
import { isSchedulable } from '../workers/isSchedulable.js';
import { commandTimeoutMs } from './commandTimeoutMs.js';
import { requeueTask } from './requeueTask.js';

// How long a start stays valid; the worker refuses it if it arrives later.
const startValidMs = 2500;

/** Sends the start of a task to its worker, once the start is persisted. */
export const sendStart = (term: Term, task: Task, now: Now): Effect[] => {
  const location = findTask(term, task);
  const worker = term.workers.get(task.workerId);
  if (!location || !worker) return requeueTask(term, task, 'job-ended', now);
  const workerClock = estimateClock(worker, now);
  if (workerClock === null || !isSchedulable(worker, now)) {
    return requeueTask(term, task, 'worker-unusable', now);
  }
  const expiresAt = workerClock + startValidMs;
  worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, expiresAt);
  // The next poll extends the lease beyond that of the start.
  worker.nextPollAt = Math.min(worker.nextPollAt, now.at);
  task.state = 'starting';
  task.stateSince = now.at;
  task.startedAt = now.at;
  task.confirmedAt = Number.POSITIVE_INFINITY;
  const checkpoint = location.step.definition.gang ? location.step.checkpoint : task.checkpoint;
  const fields = {
    requestId: task.jobId,
    task: task.name,
    run: task.run,
    worker: worker.id,
    gpu: task.need.gpu,
    heardMs: Math.round(now.at - worker.lastListedAt),
    resumed: checkpoint !== '',
    token: term.token,
  };
  return [
    { type: 'log', level: 'info', code: 'run_starting', fields },
    {
      type: 'callWorker',
      workerId: worker.id,
      address: worker.address,
      token: computeFencingToken(term, worker),
      call: {
        type: 'start',
        task: task.name,
        run: task.run,
        spec: location.plan.submission.definition.spec,
        expiresAt,
        checkpoint,
      },
      timeoutMs: commandTimeoutMs,
    },
  ];
};
