import { answerCommand } from '../commands/answerCommand.js';
import type { CommandResult } from '../commands/CommandResult.js';
import type { Effect } from '../Effect.js';
import type { PendingProposal } from './PendingProposal.js';

/** Answers all gateways that wait for a proposal. */
export const answerWaiters = (pending: PendingProposal, result: CommandResult): Effect[] => {
  const { waiters } = pending;
  pending.waiters = [];
  return waiters.flatMap(({ from, requestId }): Effect[] => [
    answerCommand(from, requestId, result),
    ...(result.ok ? [] : [{ type: 'countRefusal', reason: result.refusal.reason } as const]),
  ]);
};
