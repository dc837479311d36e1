import type { CommandResult } from '../../../src/core/commands/CommandResult.js';

/** One settings proposal as its operator sees it. */
export interface ProposalRecord {
  requestId: string;
  proposalId: string;
  /** Null until it is answered. */
  result: CommandResult | null;
}
