import type { NodeId } from '../../../src/core/NodeId.js';
import type { CallerResponse } from './CallerResponse.js';

/** One request as its caller sees it; times are simulation times. */
export interface CallerRecord {
  requestId: string;
  gateway: NodeId;
  workspace: string;
  idempotent: boolean;
  /** Idempotency key; null without one. */
  key: string | null;
  sentAt: number;
  timeoutMs: number;
  /** Time for which a worker serves the request, unless the worker is slow. */
  serviceMs: number;
  /** Null while the caller is connected. */
  disconnectedAt: number | null;
  responses: CallerResponse[];
}
