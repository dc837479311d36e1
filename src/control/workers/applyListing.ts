import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { markJobRunning } from '../plans/markJobRunning.js';
import type { Task } from '../plans/Task.js';
import { computeEndObservation } from '../usage/computeEndObservation.js';
import { markRunning } from '../runs/markRunning.js';
import { applyRunEnd } from '../runs/applyRunEnd.js';
import { buildStopCall } from '../runs/buildStopCall.js';
import { requeueTask } from '../runs/requeueTask.js';
import { sendStop } from '../runs/sendStop.js';
import { estimateEarliestClock } from './estimateEarliestClock.js';
import { updateLogSlowdown } from './updateLogSlowdown.js';
import type { ListedRun } from './ListedRun.js';
import { measurePace } from './measurePace.js';
import { handleWorkerRestart } from './handleWorkerRestart.js';
import type { PaceSample } from './PaceSample.js';
import { stopStalledRuns } from './stopStalledRuns.js';
import type { Worker } from './Worker.js';
import type { WorkerAnswer } from './WorkerAnswer.js';

// Longer than a worker takes to end a run after it has answered the stop.
const stopSettleMs = 1000;

type Listing = Extract<WorkerAnswer, { type: 'listing' }>;

/** Whether the run is listed long after its stop was answered, maybe by a former incarnation of the worker. */
const isStopWithoutEffect = (task: Task, sentAt: number): boolean =>
  task.state === 'stopping' && sentAt - task.confirmedAt > stopSettleMs;

const confirmTask = (
  term: Term,
  worker: Worker,
  task: Task,
  listed: ListedRun,
  sentAt: number,
  now: Now,
): Effect[] => {
  if (listed.checkpoint !== '') task.checkpoint = listed.checkpoint;
  if (listed.percent !== task.percent) {
    task.percent = listed.percent;
    task.percentChangedAt = worker.lastListedAt;
  }
  if (task.state === 'starting') markRunning(task, now);
  if (task.state === 'running') {
    task.confirmedAt = now.at;
    // The run was started by a former leader.
    task.observedRunningAt ??= task.startedAt;
  }
  const effects = markJobRunning(term, task, now);
  const needsStop = task.state === 'done' || isStopWithoutEffect(task, sentAt);
  return needsStop ? [...effects, ...sendStop(term, worker, task, now)] : effects;
};

const collectPaceSamples = (term: Term, worker: Worker, now: Now): PaceSample[] =>
  [...worker.tasks.values()].flatMap((task) => {
    const location = task.state === 'running' ? findTask(term, task) : null;
    if (!location) return [];
    const { queue } = location.plan.submission;
    const sample = measurePace(worker, { queue, step: location.step, task }, now);
    return sample ? [sample] : [];
  });

const stopUnplannedRun = (term: Term, worker: Worker, listed: ListedRun): Effect[] => {
  worker.unplannedRuns.set(listed.task, listed.run);
  const fields = { task: listed.task, run: listed.run, worker: worker.id };
  return [
    { type: 'count', name: 'stops', reason: 'unknown-run' },
    { type: 'log', level: 'warn', code: 'unknown_run', fields },
    buildStopCall(term, worker, listed.task, listed.run),
  ];
};

const applyListedRuns = (
  term: Term,
  worker: Worker,
  listing: Listing,
  sentAt: number,
  now: Now,
): Effect[] => {
  worker.unplannedRuns.clear();
  return listing.running.flatMap((listed) => {
    const task = worker.tasks.get(listed.task);
    if (task?.run === listed.run) return confirmTask(term, worker, task, listed, sentAt, now);
    return stopUnplannedRun(term, worker, listed);
  });
};

/** Requeues the runs that the worker confirmed before the poll was sent and no longer lists. */
const requeueUnlisted = (
  term: Term,
  worker: Worker,
  listing: Listing,
  sentAt: number,
  now: Now,
): Effect[] => {
  const listed = new Set(listing.running.map(({ task, run }) => `${task}/${run}`));
  return [...worker.tasks.values()]
    .filter((task) => task.confirmedAt < sentAt && !listed.has(`${task.name}/${task.run}`))
    .flatMap((task) => requeueTask(term, task, 'not-listed', now));
};

/** Applies a worker's listing of running and ended runs. */
export const applyListing = (
  term: Term,
  worker: Worker,
  listing: Listing,
  poll: { sentAt: number; acknowledgedEnd: number },
  maxLeaseMs: number,
  now: Now,
): Effect[] => {
  const { sentAt, acknowledgedEnd } = poll;
  const effects: Effect[] = [];
  if (worker.incarnation !== 0 && listing.incarnation > worker.incarnation) {
    effects.push(...handleWorkerRestart(term, worker, { ...listing, sentAt }, now));
  }
  // An answer of a former incarnation says nothing about the current one.
  if (listing.incarnation < worker.incarnation) return effects;
  worker.incarnation = listing.incarnation;
  const observation = computeEndObservation(worker, listing.clockMs, sentAt, now);
  worker.lastListedAt = observation.at;
  // A former leader may have renewed the lease, but no lease lasts longer than this.
  if (!worker.clock)
    worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, listing.clockMs + maxLeaseMs);
  worker.clock = {
    value: Math.max(listing.clockMs, estimateEarliestClock(worker, now)),
    observedAt: now.at,
  };
  const unobservedMs = observation.unobservedTo - observation.unobservedFrom;
  if (worker.failedPolls > 0 || unobservedMs > maxLeaseMs) term.placementDue = true;
  worker.failedPolls = 0;
  if (acknowledgedEnd === worker.lastPersistedEnd) worker.ackDue = false;
  listing.ended
    .filter(({ sequenceNumber }) => sequenceNumber > worker.lastAppliedEnd)
    .forEach((end) => {
      worker.lastAppliedEnd = end.sequenceNumber;
      term.endAcksDue = true;
      effects.push(...applyRunEnd(term, worker, end, observation, now));
    });
  effects.push(...applyListedRuns(term, worker, listing, sentAt, now));
  // A run in neither list may be among the ends that were left out; the next listing shows it.
  if (listing.hasAllEnds) {
    effects.push(...requeueUnlisted(term, worker, listing, sentAt, now));
    effects.push(...stopStalledRuns(term, worker, now));
  }
  updateLogSlowdown(worker, collectPaceSamples(term, worker, now), term.logOverrunByQueue);
  return effects;
};
