import type { JobDefinition } from '../jobs/JobDefinition.js';
import type { Operation } from './Operation.js';

/** A caller's request, decoded. */
export interface CallerRequest {
  requestId: number;
  operation: Operation;
  host: string;
  path: string;
  apiKey: string;
  /** The decoded job, or null if the body does not describe one; only for `submit`. */
  definition: JobDefinition | null;
  /** How long the caller waits for an answer. */
  timeoutMs: number;
}
