import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';

/** A task on a fake worker. */
export interface FakeTask {
  workerId: string;
  report: TaskReport;
  startedAt: number | null;
  /** Run time of the job at its latest checkpoint, in milliseconds, as text. */
  checkpoint?: string;
}
