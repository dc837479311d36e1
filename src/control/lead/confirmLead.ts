import type { Now } from '../Now.js';
import { maxConfirmationGapMs } from './maxConfirmationGapMs.js';
import type { Term } from './Term.js';

/** Notes that an append, first sent at the given monotonic time, has succeeded. */
export const confirmLead = (term: Term, sentAt: number, now: Now): void => {
  if (now.at - term.confirmedAt > maxConfirmationGapMs) term.steadySince = now.at;
  term.confirmedAt = Math.max(term.confirmedAt, sentAt);
};
