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
  /** `unassigned`: no scheduler asked yet; `waiting`: grant asked; `granted`: dispatch begun. */
  phase: 'unassigned' | 'waiting' | 'granted' | 'sent' | 'answering';
  attempt: number;
  scheduler: NodeId | null;
  grantRequestedAt: number;
  workerId: string | null;
  dispatchedAt: number;
  /** Status of the worker's answer, or null before its headers arrived. */
  status: number | null;
  /** Whether an earlier attempt was sent, so that no refusal may say that the request was not run. */
  mayHaveRun: boolean;
  /** Workers on which earlier attempts failed. */
  avoidedWorkers: string[];
}
