import type { JobPart } from './JobPart.js';
import type { JobSpec } from './JobSpec.js';
import type { JobState } from './JobState.js';

/** One gang job. */
export interface Job {
  id: string;
  workspace: string;
  zone: string;
  spec: JobSpec;
  /** False for a job known only from its tasks; without a payload it cannot be started again. */
  specKnown: boolean;
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
  /** Monotonic time at which the current phase is looked at again on this VM, or null. */
  dueAt: number | null;
  /** Run time of earlier attempts, in milliseconds. */
  ranMs: number;
  /** Whether the job returns to the queue or ends when its parts are stopped. */
  afterStop?: 'requeue' | 'cancel' | 'fail';
  /** Newest checkpoint reference of each part. */
  checkpoints?: string[];
  /** Sets of workers, as sorted joined ids, on which the job's own tasks failed. */
  failedSets: string[];
  /** Starts that ended in a failure of a task, on any workers. */
  failures: number;
  /** Monotonic time before which the job is not started again on this VM. */
  notBefore: number;
  /** Why the job waits, failed, or was stopped. */
  reason?: string;
}
