import type { Effect } from '../Effect.js';
import { isLeadConfirmed } from '../lead/isLeadConfirmed.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { finishPlan } from '../plans/finishPlan.js';
import type { JobPlan } from '../plans/JobPlan.js';
import { listStartedTasks } from '../plans/listStartedTasks.js';
import { markUnwritten } from '../plans/markUnwritten.js';
import { requeueTask } from '../runs/requeueTask.js';
import type { StreamWriter } from './StreamWriter.js';

// Another leader could not write it either, so that haste gains nothing.
const retryDelayMs = 2000;
// A job whose progress can't be stored holds up the ends of its workers until it has failed.
const maxRefusals = 5;

const dropQueuedUnits = (writer: StreamWriter, jobId: string): void => {
  writer.queued = writer.queued
    .map((append) => ({
      ...append,
      units: append.units.filter((unit) => unit.jobId !== jobId),
      startsToSend: append.startsToSend.filter(({ task }) => task.jobId !== jobId),
    }))
    .filter(({ units }) => units.length > 0);
};

/** Withdraws the starts that were not sent, and has all of the job's progress written again. */
const resetProgress = (term: Term, plan: JobPlan, now: Now): Effect[] => {
  const tasks = listStartedTasks(plan);
  markUnwritten(term, plan.id, tasks);
  if (plan.parts) plan.parts.isMainWritten = false;
  return [...tasks]
    .filter(({ state }) => state === 'recording')
    .flatMap((task) => requeueTask(term, task, 'progress-refused', now));
};

const listConcernedWorkerIds = (term: Term, jobId: string): string[] =>
  [...term.workers.values()]
    .filter(
      ({ tasks, lastAppliedEnd, lastPersistedEnd }) =>
        lastAppliedEnd > lastPersistedEnd ||
        [...tasks.values()].some((task) => task.jobId === jobId),
    )
    .map(({ id }) => id);

/**
 * Sets a job aside whose progress the store refused, so that others go on. It fails if that happens several times in a
 * row while the store takes other appends.
 */
export const setJobAside = (
  term: Term,
  writer: StreamWriter,
  jobId: string,
  now: Now,
): Effect[] => {
  dropQueuedUnits(writer, jobId);
  const plan = term.plans.get(jobId);
  if (!plan) return [];
  const previous = term.refusedJobs.get(jobId);
  const refusals = (previous?.refusals ?? 0) + (isLeadConfirmed(term, now) ? 1 : 0);
  term.refusedJobs.set(jobId, {
    refusals,
    retryAt: now.at + retryDelayMs,
    heldWorkerIds: new Set([
      ...(previous?.heldWorkerIds ?? []),
      ...listConcernedWorkerIds(term, jobId),
    ]),
  });
  const effects = resetProgress(term, plan, now);
  return refusals < maxRefusals ? effects : [...effects, ...finishPlan(term, plan, 'failed', now)];
};
