import type { WorkerReport } from '../../src/core/ownership/WorkerReport.js';
import type { WorkerState } from './WorkerState.js';

/** Builds the report that answers a lease call. */
export const buildReport = (state: WorkerState, at: number): WorkerReport => ({
  incarnation: state.incarnation,
  leaving: state.faults.leaving,
  lastRenewal: {
    holder: state.lastRenewal.holder,
    ageMs: at - state.lastRenewal.at,
    released: state.lastRenewal.released,
  },
  tasks: [...state.tasks.values()].map((task) => ({
    taskId: task.taskId,
    jobId: task.jobId,
    workspace: task.workspace,
    attempt: task.attempt,
    index: task.index,
    parts: task.parts,
    accelerators: task.accelerators,
    state: task.state,
    ...(task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }),
    ranMs: task.ranMs,
    ...(task.endedAt === null ? {} : { endedAgoMs: at - task.endedAt }),
  })),
  activeRequests: [...state.requests.values()].flatMap(({ attemptId }) => attemptId ?? []),
});
