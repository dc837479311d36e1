import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { cancelPlan } from '../plans/cancelPlan.js';
import type { State } from '../State.js';
import { getOrCreateJob } from './getOrCreateJob.js';
import type { RecordOf } from './RecordOf.js';

/** Marks a job as cancelled, also before its submission is read; the leader also stops its runs. */
export const applyCancellation = (
  state: State,
  { id, at, offset }: RecordOf<'cancellation'>,
  now: Now,
): Effect[] => {
  const job = getOrCreateJob(state, id);
  if (job.cancelledAt !== null) return [];
  job.cancelledAt = at;
  const { term } = state;
  if (!term) return [];
  const fields = {
    requestId: id,
    offset,
    ageMs: Math.round(now.wall - at),
    // Null if the job isn't planned: it is unknown or has ended, or its plan is built later in the term.
    plan: term.plans.get(id)?.state ?? null,
    phase: term.phase,
    token: term.token,
  };
  return [
    { type: 'log', level: 'info', code: 'cancellation_applied', fields },
    ...cancelPlan(term, id, now),
  ];
};
