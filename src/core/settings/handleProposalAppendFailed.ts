import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { answerWaiters } from './answerWaiters.js';

/**
 * Refuses a proposal that certainly was not appended. If the outcome is unknown, either the record
 * is read from the log, or the operator gets an unknown outcome at the deadline; neither needs a
 * second append.
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
