import type { QueueSettings } from '../config/QueueSettings.js';
import type { JobDefinition } from './JobDefinition.js';

/** An accepted job. */
export interface Submission {
  /** ID of the job. */
  id: string;
  /** Name of the queue. */
  queue: string;
  /**
   * Settings of the queue when it accepted the job, which hold until the job ends; null in records of
   * former versions.
   */
  queueSettings: QueueSettings | null;
  /** Service whose workers run the tasks. */
  service: string;
  /** Name of the workspace, or empty if a public queue accepted the job without a known API key. */
  workspace: string;
  /** Epoch milliseconds on the VM that accepted the job. */
  acceptedAt: number;
  definition: JobDefinition;
}
