import type { Outcome } from './Outcome.js';
import type { RefusalReason } from './RefusalReason.js';

/** Body of an `application/problem+json` answer (RFC 9457). */
export interface Problem {
  /** `urn:siskinhollow:problem:` and the code. */
  type: string;
  title: string;
  status: number;
  detail: string;
  code: RefusalReason;
  outcome: Outcome;
  hint: string;
  requestId: string;
}
