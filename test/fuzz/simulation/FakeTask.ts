import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { TaskRun } from './TaskRun.js';

/** A task on a fake worker. */
export interface FakeTask extends TaskReport {
  /** Time from the start to the end, unless the task is stopped or fails. */
  runMs: number;
  /** Simulation time at which the lease ends by the worker's clock. */
  leaseExpiresAt: number;
  /** Simulation time; null before the start. */
  startedAt: number | null;
  ended: boolean;
  /** Simulation time; null before the end. */
  endedAt: number | null;
  /** Entry of the history; null before the start. */
  run: TaskRun | null;
}
