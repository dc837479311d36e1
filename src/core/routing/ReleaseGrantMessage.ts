import type { AttemptOutcome } from './AttemptOutcome.js';

/** A gateway returns the slot of an attempt. */
export interface ReleaseGrantMessage {
  type: 'releaseGrant';
  requestId: string;
  attemptId: string;
  outcome: AttemptOutcome;
  /** Time from dispatch to the end of the answer, in milliseconds. */
  elapsedMs: number;
}
