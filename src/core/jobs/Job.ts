import type { JobPart } from './JobPart.js';
import type { JobSpec } from './JobSpec.js';
import type { JobState } from './JobState.js';

/** One gang job. */
export interface Job {
  id: string;
  workspace: string;
  zone: string;
  spec: JobSpec;
  state: JobState;
  /** Counts gang starts; 0 before the first. */
  attempt: number;
  parts: JobPart[];
  /** Wall clock of submission and of the latest start, in epoch milliseconds. */
  submittedWall: number;
  startedWall?: number;
  endedWall?: number;
  /** Monotonic time at which the current phase began on the deciding VM. */
  phaseAt: number;
  /** Whether the job returns to the queue or ends when its parts are stopped. */
  afterStop?: 'requeue' | 'cancel' | 'fail';
  /** Newest checkpoint reference of each part. */
  checkpoints?: string[];
  /** Why the job waits, failed, or was stopped. */
  reason?: string;
}
