import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import type { Task } from '../plans/Task.js';
import { computeSighting } from '../usage/computeSighting.js';
import { beginRun } from '../runs/beginRun.js';
import { applyEnd } from '../runs/applyEnd.js';
import { buildStop } from '../runs/buildStop.js';
import { requeueTask } from '../runs/requeueTask.js';
import { sendStop } from '../runs/sendStop.js';
import { getEarliestClock } from './getEarliestClock.js';
import { learnSlowness } from './learnSlowness.js';
import type { ListedRun } from './ListedRun.js';
import { measurePace } from './measurePace.js';
import { noteRebirth } from './noteRebirth.js';
import type { PaceSample } from './PaceSample.js';
import { stopStuckRuns } from './stopStuckRuns.js';
import type { Worker } from './Worker.js';
import type { WorkerAnswer } from './WorkerAnswer.js';

type Listing = Extract<WorkerAnswer, { type: 'listing' }>;

const confirmTask = (
  term: Term,
  worker: Worker,
  task: Task,
  listed: ListedRun,
  now: Now,
): Effect[] => {
  if (listed.checkpoint !== '') task.checkpoint = listed.checkpoint;
  if (listed.percent !== task.percent) {
    task.percent = listed.percent;
    task.percentAt = now.at;
  }
  if (task.state === 'starting') beginRun(task, now);
  if (task.state === 'running') {
    task.confirmedAt = now.at;
    // A run that was taken over from a former lead.
    task.seenAt ??= task.startedAt;
  }
  return task.state === 'done' ? sendStop(term, worker, task, now) : [];
};

const measurePaces = (term: Term, worker: Worker, now: Now): PaceSample[] =>
  [...worker.tasks.values()].flatMap((task) => {
    const place = task.state === 'running' ? findTask(term, task.name) : null;
    if (!place) return [];
    const { queue } = place.plan.submission;
    const sample = measurePace(worker, { queue, step: place.step, task }, now);
    return sample ? [sample] : [];
  });

const stopStranger = (term: Term, worker: Worker, listed: ListedRun): Effect[] => {
  worker.strangers.set(listed.task, listed.run);
  const fields = { task: listed.task, run: listed.run, worker: worker.id };
  return [
    { type: 'count', name: 'stops', reason: 'unknown-run' },
    { type: 'log', level: 'warn', code: 'unknown_run', fields },
    buildStop(term, worker, listed.task, listed.run),
  ];
};

const applyRunning = (term: Term, worker: Worker, listing: Listing, now: Now): Effect[] => {
  worker.strangers.clear();
  return listing.running.flatMap((listed) => {
    const task = worker.tasks.get(listed.task);
    if (task?.run === listed.run) return confirmTask(term, worker, task, listed, now);
    return stopStranger(term, worker, listed);
  });
};

/** A run that the worker confirmed before it was asked, and lists no more, is over. */
const dropUnlisted = (
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

/** Takes over what a worker says that runs and that ended. */
export const applyListing = (
  term: Term,
  worker: Worker,
  listing: Listing,
  asked: { sentAt: number; lastSeen: number },
  maxLeaseMs: number,
  now: Now,
): Effect[] => {
  const { sentAt, lastSeen } = asked;
  const effects: Effect[] = [];
  if (worker.born !== 0 && listing.born > worker.born) {
    const { born, running } = listing;
    effects.push(...noteRebirth(term, worker, { born, running, sentAt }, now));
  }
  // An answer of a former life tells nothing about the present one.
  if (listing.born < worker.born) return effects;
  worker.born = listing.born;
  const seen = computeSighting(worker, listing.clock, sentAt, now);
  worker.lastListedAt = seen.at;
  // Whoever renewed before, no lease lasts longer than this.
  if (!worker.clock) worker.leaseUntil = Math.max(worker.leaseUntil, listing.clock + maxLeaseMs);
  worker.clock = { value: Math.max(listing.clock, getEarliestClock(worker, now)), at: now.at };
  if (worker.failures > 0 || seen.unseenMs > maxLeaseMs) term.placementDue = true;
  worker.failures = 0;
  if (lastSeen === worker.lastSeen) worker.ackDue = false;
  listing.ended
    .filter(({ number }) => number > worker.lastEnd)
    .forEach((end) => {
      worker.lastEnd = end.number;
      term.endsDue = true;
      effects.push(...applyEnd(term, worker, end, seen, now));
    });
  effects.push(...applyRunning(term, worker, listing, now));
  effects.push(...dropUnlisted(term, worker, listing, sentAt, now));
  effects.push(...stopStuckRuns(term, worker, now));
  learnSlowness(worker, measurePaces(term, worker, now), term.overruns);
  return effects;
};
