import type { Progress } from '../jobs/Progress.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';

/** What earlier leads have written for their successor; it is of no use once the plans are built. */
export interface FormerTerm {
  /** Newest progress of each job, with the offset of its record. */
  progress: Map<string, Progress & { offset: number }>;
  speeds: WorkerSpeed[];
  /** Offset of the newest record of each total of use. */
  usageOffsets: Map<string, number>;
}
