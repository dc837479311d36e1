import type { Effect } from '../Effect.js';
import type { PendingProposal } from './PendingProposal.js';
import type { State } from '../State.js';
import { answerWaiters } from './answerWaiters.js';

const expireProposal = (proposal: PendingProposal, at: number): Effect[] => {
  const { waiters } = proposal;
  const expiredWaiters = waiters.filter(({ deadlineAt }) => deadlineAt <= at);
  if (expiredWaiters.length === 0) return [];
  const refusal = { reason: 'log-unavailable', outcome: 'unknown' } as const;
  const effects = answerWaiters({ ...proposal, waiters: expiredWaiters }, { ok: false, refusal });
  proposal.waiters = waiters.filter(({ deadlineAt }) => deadlineAt > at);
  // From now on a refusal of the same proposal cannot say that it was not run.
  proposal.appendOutcomeUnknown = true;
  return effects;
};

/** Answers proposals whose verdict was not read back in time; the outcome is unknown. */
export const expireProposals = (state: State, at: number): Effect[] => {
  const { pendingProposals } = state.settings;
  return [...pendingProposals.values()].flatMap((proposal) => {
    if (proposal.forgetAt <= at) pendingProposals.delete(proposal.proposalId);
    return expireProposal(proposal, at);
  });
};
