import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { buildVerdictResult } from './buildVerdictResult.js';
import { answerWaiters } from './answerWaiters.js';

/** Answers the pending proposals whose verdicts are known. */
export const answerDecidedProposals = (state: State): Effect[] => {
  const { projection, pendingProposals } = state.settings;
  return projection.verdicts.flatMap((verdict) => {
    const proposal = pendingProposals.get(verdict.proposalId);
    if (!proposal) return [];
    pendingProposals.delete(verdict.proposalId);
    return answerWaiters(proposal, buildVerdictResult(verdict));
  });
};
