import type { NodeId } from '../NodeId.js';

/** A slot of a worker given to one attempt. */
export interface Grant {
  attemptId: string;
  requestId: string;
  gateway: NodeId;
  workerId: string;
  workspace: string;
  requestClass: string;
  grantedAt: number;
  /** Id of the idempotency key that the attempt uses. */
  keyId?: string;
  /** Monotonic time at which the gateway's link was lost, or null. */
  gatewayLostAt: number | null;
}
