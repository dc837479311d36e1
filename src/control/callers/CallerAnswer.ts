import type { JobState } from '../jobs/JobState.js';
import type { CallerRefusal } from './CallerRefusal.js';

/** The answer to a caller's request. */
export type CallerAnswer =
  | { type: 'accepted' }
  | { type: 'state'; state: JobState }
  /** Number of queued jobs in a queue. */
  | { type: 'pending'; count: number }
  /** `retryAfterMs` is 0 if a retry can't succeed; `detail` says what the caller can change. */
  | { type: 'refused'; reason: CallerRefusal; retryAfterMs: number; detail?: string };
