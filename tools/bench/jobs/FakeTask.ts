import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';

/** One task on a fake worker. */
export interface FakeTask {
  workerId: string;
  report: TaskReport;
  startedAt: number | null;
  /** Run time of the job at the newest checkpoint, as text. */
  checkpoint?: string;
}
