import { answerCommand } from '../commands/answerCommand.js';
import type { CommandResult } from '../commands/CommandResult.js';
import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import { createRefusal } from '../createRefusal.js';
import { isReplicated } from '../replication/isReplicated.js';
import type { State } from '../State.js';
import { describeJob } from './describeJob.js';
import type { PendingSubmission } from './PendingSubmission.js';

const resolveWait = (state: State, wait: PendingSubmission, at: number): CommandResult | null => {
  const job = state.jobs.jobs.get(wait.jobId);
  // The job may already run here, and a successor may or may not know it.
  if (!job || !isLead(state, at))
    return { ok: false, refusal: createRefusal('no-lead', 'unknown') };
  if (isReplicated(state, wait.sequence, at)) return { ok: true, data: describeJob(job) };
  if (at < wait.deadlineAt) return null;
  return { ok: false, refusal: createRefusal('not-durable', 'unknown') };
};

/** Answers the submissions whose job is durable, or whose deadline came. Cost: O(waits × peers). */
export const answerSubmissions = (state: State, at: number): Effect[] => {
  const { jobs } = state;
  const waits = jobs.pendingSubmissions;
  jobs.pendingSubmissions = [];
  return waits.flatMap((wait): Effect[] => {
    const result = resolveWait(state, wait, at);
    if (!result) {
      jobs.pendingSubmissions.push(wait);
      return [];
    }
    const answer = answerCommand(wait.from, wait.requestId, result);
    return result.ok ? [answer] : [{ type: 'countRefusal', reason: result.refusal.reason }, answer];
  });
};
