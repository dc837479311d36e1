import type { JobProgress } from '../jobs/JobProgress.js';
import type { ProgressHead } from '../jobs/ProgressHead.js';
import type { ProgressPart } from '../jobs/ProgressPart.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';

/** State that earlier leaders stored for their successor; used only until the plans are built. */
export interface PredecessorState {
  /** Newest progress by job ID, with the offset of its record. */
  progress: Map<string, JobProgress & { offset: number }>;
  /** Newest head of divided progress by job ID. */
  heads: Map<string, ProgressHead & { offset: number }>;
  /** Newest parts of divided progress by part ID. */
  parts: Map<string, ProgressPart>;
  /** Worker speeds by the number of their record. */
  speeds: Map<number, WorkerSpeed[]>;
  /** Offset of the newest record of each usage total, by usage key. */
  usageOffsets: Map<string, number>;
}
