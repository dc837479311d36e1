import type { Effect } from '../Effect.js';
import type { Submission } from '../jobs/Submission.js';
import type { Now } from '../Now.js';
import { addPlan } from '../plans/addPlan.js';
import { cancelPlan } from '../plans/cancelPlan.js';
import type { State } from '../State.js';
import { getOrCreateJob } from './getOrCreateJob.js';

/** Adds an accepted job, which may have been cancelled already; later submissions with the same ID are ignored. */
export const applySubmission = (state: State, submission: Submission, now: Now): Effect[] => {
  const { term } = state;
  const job = getOrCreateJob(state, submission.id);
  job.submissionReadAt = now.at;
  if (job.submission) return [];
  job.submission = submission;
  // A term's earlier phases build the plans of all jobs later.
  if (term?.phase !== 'scheduling' && term?.phase !== 'asking') return [];
  addPlan(state, job);
  return job.cancelledAt === null ? [] : cancelPlan(term, job.id, now);
};
