import type { NodeId } from '../NodeId.js';

/** A slot of a worker given to one attempt. */
export interface Grant {
  attemptId: string;
  requestId: string;
  gateway: NodeId;
  workerId: string;
  workspace: string;
  requestClass: string;
  /** Monotonic time of the grant. */
  grantedAt: number;
  /** Id of the idempotency key of a non-idempotent request. */
  keyId?: string;
  /** Monotonic time at which the gateway disconnected; null while it is connected. */
  gatewayLostAt: number | null;
}
