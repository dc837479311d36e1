import type { NodeId } from '../../../src/core/NodeId.js';
import type { CallerResponse } from './CallerResponse.js';

/** One request as its caller sees it. */
export interface CallerRecord {
  requestId: string;
  gateway: NodeId;
  workspace: string;
  idempotent: boolean;
  key: string | null;
  sentAt: number;
  timeoutMs: number;
  serviceMs: number;
  disconnectedAt: number | null;
  responses: CallerResponse[];
}
