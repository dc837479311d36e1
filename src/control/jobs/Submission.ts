import type { JobDefinition } from './JobDefinition.js';

/** A job as it was accepted. */
export interface Submission {
  id: string;
  queue: string;
  /** Service whose workers run the tasks. */
  service: string;
  workspace: string;
  /** Epoch milliseconds at the VM that accepted the job. */
  acceptedAt: number;
  definition: JobDefinition;
}
