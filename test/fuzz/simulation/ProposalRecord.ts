import type { CommandResult } from '../../../src/core/commands/CommandResult.js';

/** One proposal from its operator's side. */
export interface ProposalRecord {
  requestId: string;
  proposalId: string;
  /** Null while there is no answer. */
  result: CommandResult | null;
}
