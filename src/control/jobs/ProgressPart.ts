import type { TaskProgress } from './TaskProgress.js';

/** A stored part of a job's divided progress. */
export interface ProgressPart {
  /** ID of the job. */
  id: string;
  part: number;
  tasks: TaskProgress[];
  /** Offset of its record. */
  offset: number;
}
