import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { stopJobRuns } from '../runs/stopJobRuns.js';
import type { JobPlan } from './JobPlan.js';
import { isJobEnded } from './isJobEnded.js';
import { markUnwritten } from './markUnwritten.js';

const stopReasons = { cancelled: 'cancelled', failed: 'job-ended' } as const;

/** Moves a job to its final state and stops its remaining runs. */
export const finishPlan = (
  term: Term,
  plan: JobPlan,
  outcome: 'completed' | 'failed' | 'cancelled',
  now: Now,
): Effect[] => {
  if (isJobEnded(plan.state)) return [];
  plan.state = outcome;
  plan.endedAt = now.wall;
  markUnwritten(term, plan.id, []);
  term.unpublishedJobIds.add(plan.id);
  const fields = {
    requestId: plan.id,
    outcome,
    queue: plan.submission.queue,
    ageMs: Math.round(now.wall - plan.submission.acceptedAt),
    token: term.token,
  };
  return [
    { type: 'count', name: 'jobs_ended', reason: outcome },
    { type: 'observe', name: 'job_age_ms', ms: Math.max(0, fields.ageMs) },
    { type: 'log', level: 'info', code: 'job_ended', fields },
    // Runs left over from a completed job are members of a finished gang and end by themselves.
    ...(outcome === 'completed' ? [] : stopJobRuns(term, plan, stopReasons[outcome], now)),
  ];
};
