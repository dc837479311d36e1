import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { cancelPlan } from '../plans/cancelPlan.js';
import type { State } from '../State.js';
import { getOrCreateJob } from './getOrCreateJob.js';

/** Marks a job as cancelled; the leader also stops its runs. */
export const applyCancellation = (state: State, id: string, now: Now): Effect[] => {
  const job = getOrCreateJob(state, id);
  if (job.cancelled) return [];
  job.cancelled = true;
  return state.term ? cancelPlan(state.term, id, now) : [];
};
