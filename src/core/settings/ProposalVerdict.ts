import type { Refusal } from '../Refusal.js';
import type { SubtreePath } from './SubtreePath.js';

/** What the fold decided on one proposal. */
export interface ProposalVerdict {
  proposalId: string;
  path: SubtreePath;
  author: string;
  /** Offset of the record; the new version of the subtree if it was accepted. */
  offset: number;
  /** Epoch milliseconds at which the log stored the proposal. */
  wall: number;
  /** Null when the proposal was accepted. */
  refusal: Refusal | null;
}
