import type { Resources } from '../Resources.js';
import type { StopReason } from './StopReason.js';
import type { TaskState } from './TaskState.js';

/** One task of a job, as the lead sees it. */
export interface Task {
  /** Name at the workers: job, occurrence, step and index. */
  name: string;
  jobId: string;
  workspace: string;
  occurrence: number;
  step: number;
  index: number;
  need: Resources;
  state: TaskState;
  run: number;
  failures: number;
  checkpoint: string;
  /** Worker of the present or last run, or empty. */
  workerId: string;
  /** Monotonic time at which the present state began. */
  stateSince: number;
  /** Monotonic time at which the present run was ordered; null when none may be under way. */
  startedAt: number | null;
  /** Monotonic time from which the present run is known to be under way, or null. */
  observedRunningAt: number | null;
  /** Monotonic time at which the worker last confirmed the run or its stop. */
  confirmedAt: number;
  stopReason: StopReason | null;
  /** Monotonic time of the last stop order, or null. */
  stopSentAt: number | null;
  /** Progress that the worker last listed. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  percentChangedAt: number;
  /** Progress from which the next sample of the run's pace counts, and its first pace. */
  paceSample: { percent: number; at: number; logPace: number | null };
}
