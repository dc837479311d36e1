import type { Resources } from '../Resources.js';
import type { TaskState } from './TaskState.js';

/** The leader's view of one task of a job. */
export interface Task {
  /** Name used in calls to workers: `job.occurrence.step.index`. */
  name: string;
  jobId: string;
  workspace: string;
  occurrence: number;
  step: number;
  index: number;
  need: Resources;
  state: TaskState;
  /** Number of the current or last run, counted from 1; 0 before the first. */
  run: number;
  /** Failed runs; the failures of a gang are counted in its step. */
  failures: number;
  checkpoint: string;
  /** Number of the part that holds its row while the stored progress of its job is divided; -1 if none does. */
  part: number;
  /** Worker of the current or last run, or empty. */
  workerId: string;
  /** Monotonic time at which the task entered its state. */
  stateSince: number;
  /**
   * Monotonic time at which the current run was placed, updated when its start is sent; null if no run
   * can be in progress.
   */
  startedAt: number | null;
  /** Monotonic time since which the current run is known to be running, or null. */
  observedRunningAt: number | null;
  /**
   * Monotonic time at which the worker last confirmed the run or its stop; infinite while a start or
   * stop is unanswered.
   */
  confirmedAt: number;
  /** Monotonic time at which the last stop was sent, or null. */
  stopSentAt: number | null;
  /** How often a run of it was stopped because it made no progress. */
  stalls: number;
  /** Progress in the worker's last listing, 0 to 100. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  percentChangedAt: number;
  /**
   * Progress and monotonic time from which the next pace sample of the run is measured, and the
   * logarithm of the pace with which it is compared; null before the first sample.
   */
  paceBaseline: { percent: number; at: number; logPace: number | null };
}
