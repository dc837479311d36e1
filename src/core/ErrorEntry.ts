import type { Outcome } from './Outcome.js';

/** Texts and codes of one refusal reason. */
export interface ErrorEntry {
  /** HTTP status of the answer. */
  status: number;
  title: string;
  /** What happened, when the refusal carries no detail of its own. */
  message: string;
  /** What the reader can do about it. */
  hint: string;
  /** Outcome that the reason means when nothing else is known. */
  outcome: Outcome;
}
