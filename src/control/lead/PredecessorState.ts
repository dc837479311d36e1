import type { JobProgress } from '../jobs/JobProgress.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';

/** What earlier leads have written for their successor; it is of no use once the plans are built. */
export interface PredecessorState {
  /** Newest progress of each job, with the offset of its record. */
  progress: Map<string, JobProgress & { offset: number }>;
  speeds: WorkerSpeed[];
  /** Offset of the newest record of each total of use. */
  usageOffsets: Map<string, number>;
}
