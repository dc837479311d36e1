import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { computeDueAt } from './computeDueAt.js';
import type { Task } from './Task.js';

/** Moves the job of a task that a worker has begun from `queued` to `running`, and measures how long it waited. */
export const markJobRunning = (
  term: Term,
  { jobId, occurrence }: Pick<Task, 'jobId' | 'occurrence'>,
  now: Now,
): Effect[] => {
  const plan = term.plans.get(jobId);
  if (plan?.state !== 'queued') return [];
  plan.state = 'running';
  term.unpublishedJobIds.add(plan.id);
  const eligibleAt = Math.max(
    plan.submission.acceptedAt,
    computeDueAt(plan.submission, occurrence),
  );
  return [{ type: 'observe', name: 'job_wait_ms', ms: Math.max(0, now.wall - eligibleAt) }];
};
