import type { NodeId } from '../NodeId.js';

/** State of one caller's request at its gateway. */
export interface Exchange {
  requestId: string;
  workspace: string;
  requestClass: string;
  idempotent: boolean;
  /** Key by which the caller marks repetitions of the same request. */
  idempotencyKey?: string;
  /** Whether the adapter kept the body, so that another attempt can send it again. */
  replayable: boolean;
  /** Monotonic time until which the caller waits for the headers of an answer. */
  deadlineAt: number;
  /**
   * Phase of the current attempt. `unassigned`: no scheduler was available; `waiting`: a grant is
   * requested; `granted`: dispatched to the worker; `sent`: the first byte is written; `answering`:
   * the answer's headers have arrived.
   */
  phase: 'unassigned' | 'waiting' | 'granted' | 'sent' | 'answering';
  /** Number of the current attempt; 0 before the first grant request. */
  attempt: number;
  /** Scheduler of the requested or received grant; null while `unassigned`. */
  scheduler: NodeId | null;
  /** Monotonic time of the newest grant request; before the first, time of the arrival. */
  grantRequestedAt: number;
  /** Worker of the newest grant; null before the first. */
  workerId: string | null;
  /** Monotonic time of the newest dispatch; before the first, time of the arrival. */
  dispatchedAt: number;
  /** HTTP status of the worker's answer; null before its headers have arrived. */
  status: number | null;
  /** Whether an attempt was sent and failed; every later refusal then has an unknown outcome. */
  mayHaveRun: boolean;
  /** Workers on which earlier attempts failed. */
  avoidedWorkers: string[];
}
