import { answerControl } from './answerControl.js';
import type { WorkerHandlers } from './WorkerHandlers.js';
import { buildReport } from './buildReport.js';

/** Handlers of lease calls; each answer describes the lease as it was before the call. */
export const leaseHandlers: Pick<WorkerHandlers, 'leaseRead' | 'leaseRenewed' | 'leaseReleased'> = {
  leaseRead: (state, { requestId, at }) => [
    answerControl(state, requestId, buildReport(state, at)),
  ],

  leaseRenewed: (state, { requestId, holder, taskLeaseMs, renewTasks, at }) => {
    const report = buildReport(state, at);
    state.lastRenewal = { holder, at, released: false };
    renewTasks.forEach((taskId) => {
      const task = state.tasks.get(taskId);
      if (task) task.leaseUntil = at + taskLeaseMs;
    });
    // Only a renewal marks ends as reported: the sender of a plain read may never hold the lease.
    state.tasks.forEach((task) => {
      if (task.endedAt !== null) task.endReported = true;
    });
    return [answerControl(state, requestId, report)];
  },

  leaseReleased: (state, { requestId, holder, at }) => {
    const report = buildReport(state, at);
    if (state.lastRenewal.holder === holder) state.lastRenewal.released = true;
    return [answerControl(state, requestId, report)];
  },
};
