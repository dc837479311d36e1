import type { JobState } from '../jobs/JobState.js';
import type { CallerRefusal } from './CallerRefusal.js';

/** The answer to a caller. */
export type CallerAnswer =
  | { type: 'accepted' }
  | { type: 'state'; state: JobState }
  | { type: 'pending'; count: number }
  | { type: 'refused'; reason: CallerRefusal; retryAfterMs: number };
