import type { Outcome } from './Outcome.js';

/** HTTP status and texts of one refusal reason. */
export interface ErrorEntry {
  /** HTTP status of the response. */
  status: number;
  title: string;
  /** Description used when the refusal has no `detail`. */
  message: string;
  /** What the caller or operator can do about it. */
  hint: string;
  /** Usual outcome of a refusal with this reason; `hint` assumes it. */
  outcome: Outcome;
}
