import type { NodeId } from '../NodeId.js';

/** A proposal of this recorder whose verdict has not been read back. */
export interface PendingProposal {
  proposalId: string;
  appendId: string;
  /** Gateways that wait for the verdict. */
  waiters: { from: NodeId; requestId: string; deadlineAt: number }[];
  /** Whether the log has acknowledged the append. */
  appended: boolean;
  /** Whether an append with this id may have taken effect without its answer. */
  appendOutcomeUnknown: boolean;
  /** Monotonic time after which the entry is dropped. */
  forgetAt: number;
}
