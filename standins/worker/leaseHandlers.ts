import { answerControl } from './answerControl.js';
import type { WorkerHandlers } from './WorkerHandlers.js';
import { buildReport } from './buildReport.js';

/** Handlers of calls to the worker's lease; each answer describes the time before the call. */
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
    // Only a renewal counts as reported: a probe may come from a scheduler that never holds.
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
