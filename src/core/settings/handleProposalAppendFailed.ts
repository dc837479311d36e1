import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { answerWaiters } from './answerWaiters.js';

/**
 * Refuses a proposal that provably was not appended. After a lost answer the tail finds the
 * proposal by its id, or the operator learns at the deadline that the outcome is unknown; a second
 * append is not needed in either case.
 */
export const handleProposalAppendFailed = (
  state: State,
  event: EventOf<'logAppendFailed'>,
): Effect[] => {
  const { pendingProposals } = state.settings;
  const proposal = [...pendingProposals.values()].find(
    ({ appendId }) => appendId === event.appendId,
  );
  if (!proposal) return [];
  if (event.outcome === 'unknown') {
    proposal.appendOutcomeUnknown = true;
    return [{ type: 'countRetry', reason: 'append-answer-lost' }];
  }
  const outcome = proposal.appendOutcomeUnknown ? 'unknown' : 'not-run';
  if (!proposal.appendOutcomeUnknown) pendingProposals.delete(proposal.proposalId);
  const refusal = { reason: 'log-unavailable', outcome } as const;
  return answerWaiters(proposal, { ok: false, refusal });
};
