import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import { markUnwritten } from '../plans/markUnwritten.js';
import type { Task } from '../plans/Task.js';
import { recordUsage } from '../usage/recordUsage.js';
import { describeWorkerView } from '../workers/describeWorkerView.js';
import { releaseResources } from '../workers/releaseResources.js';
import type { RequeueCause } from './RequeueCause.js';

// Causes that mean that the run may have been running, but its end was not observed.
const unobservedEndCauses: readonly RequeueCause[] = [
  'worker-restarted',
  'lease-over',
  'not-listed',
];

/** Releases a run's resources and requeues its task; a gang is marked so that its other members stop. */
export const requeueTask = (term: Term, task: Task, cause: RequeueCause, now: Now): Effect[] => {
  const worker = term.workers.get(task.workerId);
  if (worker) releaseResources(worker, task);
  const isUnobserved = unobservedEndCauses.includes(cause);
  if (worker && isUnobserved) {
    const unobserved = { unobservedFrom: worker.lastListedAt, unobservedTo: now.at };
    recordUsage(term, task, 'unknown', { at: now.at, ...unobserved }, now);
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
    ...(worker && isUnobserved ? describeWorkerView(worker, now) : {}),
  };
  task.state = 'waiting';
  task.stateSince = now.at;
  task.stopSentAt = null;
  const log: Effect = { type: 'log', level: 'info', code: 'run_over', fields };
  const location = findTask(term, task);
  if (!location || location.step.remaining === 0 || isJobEnded(location.plan.state)) return [log];
  markUnwritten(term, task.jobId, [task]);
  location.step.readySince = now.at;
  if (location.step.definition.gang) term.incompleteGangs.add(location.step);
  return [log];
};
