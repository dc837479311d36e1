import type { Effect } from '../Effect.js';
import type { Submission } from '../jobs/Submission.js';
import { addPlan } from '../plans/addPlan.js';
import type { State } from '../State.js';
import { getOrCreateJob } from './getOrCreateJob.js';

/** Adds an accepted job; later submissions with the same ID are ignored. */
export const applySubmission = (state: State, submission: Submission): Effect[] => {
  const job = getOrCreateJob(state, submission.id);
  if (job.submission) return [];
  job.submission = submission;
  if (state.term?.phase === 'scheduling' || state.term?.phase === 'asking') addPlan(state, job);
  return [];
};
