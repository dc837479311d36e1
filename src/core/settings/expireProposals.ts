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
  // From now on, a refusal of this proposal can't state that it was not applied.
  proposal.appendOutcomeUnknown = true;
  return effects;
};

/** Answers proposals without a verdict at their deadline; the outcome is unknown. */
export const expireProposals = (state: State, at: number): Effect[] => {
  const { pendingProposals } = state.settings;
  return [...pendingProposals.values()].flatMap((proposal) => {
    if (proposal.forgetAt <= at) pendingProposals.delete(proposal.proposalId);
    return expireProposal(proposal, at);
  });
};
