import type { AttemptOutcome } from '../../../src/core/routing/AttemptOutcome.js';
import type { Attempt } from './Attempt.js';

/** An event of a request run. */
export type RequestRunEvent =
  | { type: 'arrive'; attempt: Attempt }
  | { type: 'end'; attempt: Attempt; workerId: string; startedAt: number; outcome: AttemptOutcome }
  | { type: 'cancel' }
  | { type: 'tick' };
