import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import type { Command } from '../commands/Command.js';
import { buildVerdictResult } from './buildVerdictResult.js';
import { appendProposal } from './appendProposal.js';
import { findEarlyRefusal } from './findEarlyRefusal.js';

/** Share of the gateway's command timeout; the recorder's answer, with its reason, comes first. */
const answerTimeoutShare = 0.8;

const buildRecord = (command: Extract<Command, { kind: 'proposeSettings' }>): unknown => ({
  ...command,
  kind: 'proposal',
});

/**
 * Appends a proposal to the log, or refuses it. A repeated command with the same proposal id gets
 * the known verdict or waits for the pending append.
 */
export const handleProposeSettings: CommandHandler<'proposeSettings'> = (
  state,
  { from, requestId, at, command },
) => {
  const { projection, pendingProposals } = state.settings;
  const { proposalId } = command;
  const verdict = projection.verdicts.find((decided) => decided.proposalId === proposalId);
  if (verdict) return [answerCommand(from, requestId, buildVerdictResult(verdict))];
  const deadlineAt = at + state.timing.commandTimeoutMs * answerTimeoutShare;
  const waiter = { from, requestId, deadlineAt };
  const proposal = pendingProposals.get(proposalId);
  if (proposal && (proposal.appended || proposal.waiters.length > 0)) {
    proposal.waiters.push(waiter);
    return [];
  }
  const record = buildRecord(command);
  const refusal = proposal ? null : findEarlyRefusal(projection, record);
  if (refusal) {
    return [
      answerCommand(from, requestId, { ok: false, refusal }),
      { type: 'countRefusal', reason: refusal.reason },
    ];
  }
  return appendProposal(state, proposalId, record, waiter);
};
