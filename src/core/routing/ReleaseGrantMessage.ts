import type { AttemptOutcome } from './AttemptOutcome.js';

/** A gateway returns the slot of an attempt and reports its outcome. */
export interface ReleaseGrantMessage {
  type: 'releaseGrant';
  requestId: string;
  attemptId: string;
  outcome: AttemptOutcome;
  /** Milliseconds from dispatch to the end of the attempt; 0 if the grant was not used. */
  elapsedMs: number;
}
