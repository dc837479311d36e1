import type { JobProgress } from '../jobs/JobProgress.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';

/** State that earlier leaders stored for their successor; used only until the plans are built. */
export interface PredecessorState {
  /** Newest progress by job ID, with the offset of its record. */
  progress: Map<string, JobProgress & { offset: number }>;
  speeds: WorkerSpeed[];
  /** Offset of the newest record of each usage total, by usage key. */
  usageOffsets: Map<string, number>;
}
