import type { CommandResult } from '../commands/CommandResult.js';
import type { ProposalVerdict } from './ProposalVerdict.js';

/** Builds the command result from the verdict on the proposal. */
export const buildVerdictResult = ({ path, offset, refusal }: ProposalVerdict): CommandResult =>
  refusal === null ? { ok: true, data: { path, version: offset } } : { ok: false, refusal };
