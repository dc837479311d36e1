import type { Outcome } from './Outcome.js';
import type { Refusal } from './Refusal.js';
import type { RefusalReason } from './RefusalReason.js';

/** Creates a refusal; without `retryAfterMs`, a later retry does not help. */
export const createRefusal = (
  reason: RefusalReason,
  outcome: Outcome = 'not-run',
  retryAfterMs?: number,
): Refusal => ({ reason, outcome, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) });
