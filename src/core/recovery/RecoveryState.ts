import type { JobScan } from './JobScan.js';
import type { RecoveredJob } from './RecoveredJob.js';

/**
 * Recovery of jobs from the log after all schedulers of a zone were lost. A lead sends queries and
 * queues the recovered jobs; a recorder scans the log.
 */
export interface RecoveryState {
  /** Monotonic time of the next query; null if none is needed. */
  nextQueryAt: number | null;
  /** Id of the newest query; null before the first and after a complete answer. */
  queryId: string | null;
  /** Part of the next query's id. */
  nextQueryNumber: number;
  /**
   * Recovered jobs whose tasks may still run. A job without a reported task is queued at the
   * monotonic time `queueAt`, when the leases of its tasks have lapsed.
   */
  pendingJobs: { job: RecoveredJob; queueAt: number }[];
  /**
   * Monotonic time at which the open jobs are next appended to the log again; Infinity unless lead.
   */
  nextReappendAt: number;
  /** Scans of this recorder, by requesting node. */
  scans: Map<string, JobScan>;
  /** Part of the next read's id. */
  nextReadNumber: number;
}
