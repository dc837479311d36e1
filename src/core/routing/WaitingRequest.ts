import type { NodeId } from '../NodeId.js';

/** A grant request in the queue of its workspace. */
export interface WaitingRequest {
  requestId: string;
  attempt: number;
  gateway: NodeId;
  workspace: string;
  requestClass: string;
  enqueuedAt: number;
  deadlineAt: number;
  avoid: string[];
  keyId?: string;
}
