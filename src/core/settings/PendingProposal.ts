import type { NodeId } from '../NodeId.js';

/** A proposal that this recorder has sent to the log and whose verdict it has not read yet. */
export interface PendingProposal {
  proposalId: string;
  /** Id of the newest append. */
  appendId: string;
  /** Gateways that wait for the verdict until a monotonic time. */
  waiters: { from: NodeId; requestId: string; deadlineAt: number }[];
  /** Whether the log has acknowledged the append. */
  appended: boolean;
  /** Whether an append of this proposal may have taken effect without an answer. */
  appendOutcomeUnknown: boolean;
  /** Monotonic time after which the entry is deleted. */
  forgetAt: number;
}
