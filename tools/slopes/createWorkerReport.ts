import type { State } from '../../src/core/State.js';
import type { WorkerReport } from '../../src/core/ownership/WorkerReport.js';

/** Creates the report of a worker that runs exactly the tasks that the scheduler knows. */
export const createWorkerReport = (state: State, workerId: string): WorkerReport => ({
  incarnation: 'a',
  leaving: false,
  lastRenewal: { holder: 'vm-000/a1b2c3d4', ageMs: 1000, released: false },
  tasks: [...(state.jobs.tasksByWorker.get(workerId) ?? [])].map((taskId) => {
    const [jobId, attempt, index] = taskId.split('.') as [string, string, string];
    const job = state.jobs.jobs.get(jobId)!;
    return {
      taskId,
      jobId,
      workspace: job.workspace,
      attempt: Number(attempt),
      index: Number(index),
      parts: job.spec.tasks,
      accelerators: job.spec.acceleratorsPerTask,
      state: 'running',
      ranMs: 61_000,
    };
  }),
  activeRequests: [],
});
