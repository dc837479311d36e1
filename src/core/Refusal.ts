import type { Outcome } from './Outcome.js';
import type { RefusalReason } from './RefusalReason.js';

/** A refusal on its way to a caller or operator. */
export interface Refusal {
  reason: RefusalReason;
  outcome: Outcome;
  /** Hint for `Retry-After`; absent when waiting does not help. */
  retryAfterMs?: number;
  /** What exactly was refused, for example the path and value of a bad setting. */
  detail?: string;
}
