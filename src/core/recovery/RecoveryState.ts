import type { JobScan } from './JobScan.js';
import type { RecoveredJob } from './RecoveredJob.js';

/** Recovery of jobs from the log after every scheduler of a zone was lost. */
export interface RecoveryState {
  /** Monotonic time of the next query, or null when none is needed. */
  nextQueryAt: number | null;
  queryId: string | null;
  nextQueryNumber: number;
  /** Recovered jobs that wait until their tasks must have been seen or have lapsed. */
  pendingJobs: { job: RecoveredJob; queueAt: number }[];
  /** Monotonic time of the next repetition of the open jobs in the log. */
  nextReappendAt: number;
  /** Scans of this recorder, by the node that asked. */
  scans: Map<string, JobScan>;
  nextReadNumber: number;
}
