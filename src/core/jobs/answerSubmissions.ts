import { answerCommand } from '../commands/answerCommand.js';
import type { CommandResult } from '../commands/CommandResult.js';
import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import { createRefusal } from '../createRefusal.js';
import { isReplicated } from '../replication/isReplicated.js';
import type { State } from '../State.js';
import { describeJob } from './describeJob.js';
import type { PendingSubmission } from './PendingSubmission.js';

const resolveSubmission = (
  state: State,
  submission: PendingSubmission,
  at: number,
): CommandResult | null => {
  const job = state.jobs.jobs.get(submission.jobId);
  // Unknown, because the job may already run here, and the next lead may or may not know it.
  if (!job || !isLead(state, at))
    return { ok: false, refusal: createRefusal('no-lead', 'unknown') };
  if (isReplicated(state, submission.sequence, at)) return { ok: true, data: describeJob(job) };
  if (at < submission.deadlineAt) return null;
  return { ok: false, refusal: createRefusal('not-durable', 'unknown') };
};

/**
 * Answers the submissions whose job is replicated or whose deadline has passed.
 * Cost: O(submissions × peers).
 */
export const answerSubmissions = (state: State, at: number): Effect[] => {
  const { jobs } = state;
  const unanswered = jobs.pendingSubmissions;
  jobs.pendingSubmissions = [];
  return unanswered.flatMap((submission): Effect[] => {
    const result = resolveSubmission(state, submission, at);
    if (!result) {
      jobs.pendingSubmissions.push(submission);
      return [];
    }
    const answer = answerCommand(submission.from, submission.requestId, result);
    return result.ok ? [answer] : [{ type: 'countRefusal', reason: result.refusal.reason }, answer];
  });
};
