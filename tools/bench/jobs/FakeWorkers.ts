import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';

/** In-memory replacement for the workers of a zone. */
export interface FakeWorkers {
  call: (
    workerId: string,
    call: Exclude<WorkerCall, { kind: 'lease' }>,
    at: number,
  ) => { accepted: boolean; checkpoint?: string };
  /** Lists the reports of a worker's tasks; a finished task is reported only once. */
  listTasks: (workerId: string, at: number) => TaskReport[];
}
