import type { Refusal } from '../Refusal.js';
import type { SubtreePath } from './SubtreePath.js';

/** Decision on one proposal, derived from the log. */
export interface ProposalVerdict {
  proposalId: string;
  path: SubtreePath;
  author: string;
  /** Offset of the proposal's record; if accepted, the new version of the subtree. */
  offset: number;
  /** Epoch milliseconds at which the log stored the proposal. */
  wall: number;
  /** Null if the proposal was accepted. */
  refusal: Refusal | null;
}
