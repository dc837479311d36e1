import { buildWorkerHttpRequest } from '../../src/adapters/worker/buildWorkerHttpRequest.js';
import { defaultTiming } from '../../src/core/defaultTiming.js';
import { addRunningTasks } from './addRunningTasks.js';
import { createDaemonState } from './createDaemonState.js';
import { createWorkerReport } from './createWorkerReport.js';

/**
 * Estimated header sizes. Request: request line, host, connection, content type and length. Answer:
 * status line, content type, date, connection, keep-alive and length.
 */
const requestHeaderBytes = 150;
const answerHeaderBytes = 180;

/** Bytes of one lease renewal; the header sizes are estimates. */
interface RenewalBytes {
  requestBody: number;
  answerBody: number;
  requestHeaders: number;
  answerHeaders: number;
}

/** Measures the bytes of a worker's lease renewal and of its answer, for a number of tasks. */
export const measureRenewalBytes = (tasks: number): RenewalBytes => {
  const state = createDaemonState('scheduler', { workers: 1, teams: 1 });
  addRunningTasks(state, tasks, 1);
  const [workerId] = state.ownership.leases.keys();
  const report = createWorkerReport(state, workerId!);
  const { body } = buildWorkerHttpRequest({
    kind: 'lease',
    purpose: 'renew',
    sentAt: 0,
    holder: 'vm-000/a1b2c3d4',
    leaseMs: defaultTiming.holderLeaseMs,
    taskLeaseMs: defaultTiming.taskLeaseMs,
    renewTasks: report.tasks.map(({ taskId }) => taskId),
  });
  return {
    requestBody: Buffer.byteLength(JSON.stringify(body)),
    answerBody: Buffer.byteLength(JSON.stringify(report)),
    requestHeaders: requestHeaderBytes,
    answerHeaders: answerHeaderBytes,
  };
};
