import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';

/** Stand-ins for the workers of a zone. */
export interface FakeWorkers {
  call: (
    workerId: string,
    call: Exclude<WorkerCall, { kind: 'lease' }>,
    at: number,
  ) => { accepted: boolean; checkpoint?: string };
  /** Tasks of a worker as it reports them; a finished task is reported once. */
  listTasks: (workerId: string, at: number) => TaskReport[];
}
