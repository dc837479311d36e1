import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { answerVerdict } from './answerVerdict.js';
import { answerWaiters } from './answerWaiters.js';

/** Answers the pending proposals whose records have been read back. */
export const answerDecided = (state: State): Effect[] => {
  const { fold, pending } = state.settings;
  return fold.verdicts.flatMap((verdict) => {
    const proposal = pending.get(verdict.proposalId);
    if (!proposal) return [];
    pending.delete(verdict.proposalId);
    return answerWaiters(proposal, answerVerdict(verdict));
  });
};
