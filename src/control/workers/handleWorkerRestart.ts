import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';
import { requeueTask } from '../runs/requeueTask.js';
import { sendStop } from '../runs/sendStop.js';
import { stopTask } from '../runs/stopTask.js';
import { recordUsage } from '../usage/recordUsage.js';
import { createLogSlowdown } from './createLogSlowdown.js';
import type { ListedRun } from './ListedRun.js';
import type { Worker } from './Worker.js';

interface RestartListing {
  incarnation: number;
  running: readonly ListedRun[];
  hasAllEnds: boolean;
  /** Monotonic time at which the poll was sent. */
  sentAt: number;
}

/**
 * Records the usage of a run that was being stopped: it ended with the former incarnation, even if the
 * new one has yet to answer the stop.
 */
const recordLostUsage = (term: Term, worker: Worker, task: Task, now: Now): void => {
  if (task.state !== 'stopping' || task.observedRunningAt === null) return;
  recordUsage(
    term,
    task,
    'unknown',
    { at: now.at, unobservedFrom: worker.lastListedAt, unobservedTo: now.at },
    now,
  );
};

const reconcileTask = (
  term: Term,
  worker: Worker,
  task: Task,
  listing: RestartListing,
  now: Now,
): Effect[] => {
  const { running, hasAllEnds, sentAt } = listing;
  if (running.some((run) => run.task === task.name && run.run === task.run)) return [];
  recordLostUsage(term, worker, task, now);
  if (task.state === 'recording') return [];
  // A start in flight may still reach the new incarnation; only a stop rules that out, for whatever reason the former
  // incarnation was told to stop the run.
  if (task.state === 'starting') return stopTask(term, task, 'start-unanswered', now);
  if (task.state === 'stopping' && task.observedRunningAt === null) {
    return sendStop(term, worker, task, now);
  }
  // The new incarnation confirmed it after the poll was sent, or may have ended it, so the next listing
  // decides.
  if (task.confirmedAt >= sentAt || !hasAllEnds) return [];
  return requeueTask(term, task, 'worker-restarted', now);
};

/** Handles the first listing of a worker's new incarnation: the runs of the former one are lost. */
export const handleWorkerRestart = (
  term: Term,
  worker: Worker,
  listing: RestartListing,
  now: Now,
): Effect[] => {
  const fields = {
    worker: worker.id,
    born: listing.incarnation,
    formerly: worker.incarnation,
    tasks: worker.tasks.size,
  };
  worker.incarnation = listing.incarnation;
  worker.restarts += 1;
  worker.lastPersistedEnd = 0;
  worker.ackDue = false;
  worker.lastAppliedEnd = 0;
  worker.clock = null;
  worker.leaseExpiresAt = 0;
  worker.unplannedRuns.clear();
  worker.failedRunsByJob.clear();
  worker.logSlowdown = createLogSlowdown();
  worker.nextPollAt = now.at;
  term.placementDue = true;
  return [
    { type: 'log', level: 'info', code: 'worker_restarted', fields },
    ...[...worker.tasks.values()].flatMap((task) =>
      reconcileTask(term, worker, task, listing, now),
    ),
  ];
};
