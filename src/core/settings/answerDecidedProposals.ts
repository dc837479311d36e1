import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { buildVerdictResult } from './buildVerdictResult.js';
import { answerWaiters } from './answerWaiters.js';

/** Answers the pending proposals whose records have been read back. */
export const answerDecidedProposals = (state: State): Effect[] => {
  const { projection: fold, pendingProposals: pending } = state.settings;
  return fold.verdicts.flatMap((verdict) => {
    const proposal = pending.get(verdict.proposalId);
    if (!proposal) return [];
    pending.delete(verdict.proposalId);
    return answerWaiters(proposal, buildVerdictResult(verdict));
  });
};
