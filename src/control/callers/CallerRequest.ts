import type { JobDefinition } from '../jobs/JobDefinition.js';
import type { Operation } from './Operation.js';

/** A decoded request of a caller. */
export interface CallerRequest {
  requestId: number;
  operation: Operation;
  host: string;
  path: string;
  apiKey: string;
  /** The decoded job of a `submit`; null if the body is invalid, and for other operations. */
  definition: JobDefinition | null;
  /** What is wrong with the body of a `submit`, or empty. */
  definitionProblem: string;
  /** How long the caller waits for the answer. */
  timeoutMs: number;
}
