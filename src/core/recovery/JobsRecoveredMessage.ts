import type { RecoveredJob } from './RecoveredJob.js';

/** Answer of a recorder to `jobsQuery`, with some of the open jobs. */
export interface JobsRecoveredMessage {
  type: 'jobsRecovered';
  queryId: string;
  jobs: RecoveredJob[];
  /** False while more messages of the same answer follow. */
  complete: boolean;
}
