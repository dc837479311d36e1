import type { Outcome } from './Outcome.js';
import type { RefusalReason } from './RefusalReason.js';

/** Refusal of a request or command, as sent to the caller or operator. */
export interface Refusal {
  reason: RefusalReason;
  outcome: Outcome;
  /** Delay for the `Retry-After` header; absent when a later retry does not help. */
  retryAfterMs?: number;
  /** What exactly was refused, for example the path and value of a bad setting. */
  detail?: string;
}
