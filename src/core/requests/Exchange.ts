import type { NodeId } from '../NodeId.js';

/** One caller's request at the gateway. */
export interface Exchange {
  requestId: string;
  workspace: string;
  requestClass: string;
  idempotent: boolean;
  idempotencyKey?: string;
  replayable: boolean;
  deadlineAt: number;
  /** `asking`: no scheduler asked yet; `waiting`: grant asked; `granted`: dispatch begun. */
  phase: 'asking' | 'waiting' | 'granted' | 'sent' | 'answering';
  attempt: number;
  scheduler: NodeId | null;
  workerId: string | null;
  dispatchedAt: number;
  /** Workers on which earlier attempts failed. */
  avoid: string[];
}
