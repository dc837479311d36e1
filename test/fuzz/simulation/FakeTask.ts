import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { TaskRun } from './TaskRun.js';

/** A task on a fake worker. */
export interface FakeTask extends TaskReport {
  runMs: number;
  /** Simulation time at which the lease ends by the worker's clock. */
  leaseExpiresAt: number;
  startedAt: number | null;
  ended: boolean;
  endedAt: number | null;
  run: TaskRun | null;
}
