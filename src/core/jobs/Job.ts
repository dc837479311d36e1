import type { JobPart } from './JobPart.js';
import type { JobSpec } from './JobSpec.js';
import type { JobState } from './JobState.js';

/** A gang job; its monotonic times, in milliseconds, are valid on one VM only. */
export interface Job {
  id: string;
  workspace: string;
  zone: string;
  spec: JobSpec;
  /** False for a job known from its tasks only; without its payload it cannot be started again. */
  specKnown: boolean;
  state: JobState;
  /** Counts gang starts; 0 before the first. */
  attempt: number;
  parts: JobPart[];
  /** Epoch milliseconds of the submission. */
  submittedWall: number;
  /** Epoch milliseconds of the latest start; absent before the first. */
  startedWall?: number;
  /** Epoch milliseconds of the end; absent until then. */
  endedWall?: number;
  /** Monotonic time at which the current state began, as far as this VM knows. */
  phaseAt: number;
  /** Monotonic time of the job's current deadline, or null if it has none. */
  dueAt: number | null;
  /** Run time in milliseconds, without the current stay in `running` or `checkpointing`. */
  ranMs: number;
  /** Set when a stop begins: whether the job then returns to the queue or ends. */
  afterStop?: 'requeue' | 'cancel' | 'fail';
  /** Checkpoint references by part index, all of the same checkpoint; absent before the first. */
  checkpoints?: string[];
  /** Sets of workers on which the job's own tasks failed, each as sorted ids joined by commas. */
  failedSets: string[];
  /** Number of attempts that ended because a task failed or was refused, on any workers. */
  failures: number;
  /** Monotonic time before which the job is not started. */
  notBefore: number;
  /** Why the job was stopped, preempted or failed; shown to callers. */
  reason?: string;
}
