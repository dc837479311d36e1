import type { GeneratedRequest } from './GeneratedRequest.js';

/** Outcome of one request. */
export interface RequestResult {
  request: GeneratedRequest;
  /** `failed`: no retry was left; `late`: its last attempt ended at or after the deadline. */
  outcome: 'answered' | 'refused' | 'failed' | 'late' | 'cancelled';
  /** Time from arrival to the end, in milliseconds. */
  latencyMs: number;
  /** Slot time used by all attempts until the last arrival of the run, in milliseconds. */
  usedMs: number;
}
