import type { JobDefinition } from './JobDefinition.js';

/** An accepted job. */
export interface Submission {
  /** ID of the job. */
  id: string;
  /** Name of the queue. */
  queue: string;
  /** Service whose workers run the tasks. */
  service: string;
  /** Name of the workspace, or empty if a public queue accepted the job without a known API key. */
  workspace: string;
  /** Epoch milliseconds on the VM that accepted the job. */
  acceptedAt: number;
  definition: JobDefinition;
}
