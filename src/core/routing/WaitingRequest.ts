import type { NodeId } from '../NodeId.js';

/** A grant request that waits for a slot or for the replication of its key. */
export interface WaitingRequest {
  requestId: string;
  attempt: number;
  gateway: NodeId;
  workspace: string;
  requestClass: string;
  /** Monotonic time of arrival. */
  enqueuedAt: number;
  /** Monotonic time of the caller's deadline. */
  deadlineAt: number;
  /** Workers on which earlier attempts failed. */
  avoid: string[];
  /** Id of the idempotency key of a non-idempotent request. */
  keyId?: string;
}
