import type { LeasePurpose } from '../../core/ownership/LeasePurpose.js';
import type { WorkerCall } from '../../core/ownership/WorkerCall.js';
import type { WorkerHttpCall } from './WorkerHttpCall.js';

type CallOf<K extends WorkerCall['kind']> = Extract<WorkerCall, { kind: K }>;

const renew = ({ holder, leaseMs, taskLeaseMs, renewTasks }: CallOf<'lease'>): WorkerHttpCall => ({
  method: 'POST',
  path: '/v1/lease',
  body: { holder, leaseMs, taskLeaseMs, renewTasks },
});

const leaseCalls: Record<LeasePurpose, (call: CallOf<'lease'>) => WorkerHttpCall> = {
  probe: () => ({ method: 'GET', path: '/v1/lease' }),
  claim: renew,
  renew,
  release: ({ holder }) => ({
    method: 'DELETE',
    path: `/v1/lease?holder=${encodeURIComponent(holder)}`,
  }),
};

const buildTaskPath = (taskId: string, action = ''): string =>
  `/v1/tasks/${encodeURIComponent(taskId)}${action}`;

const calls: { readonly [K in WorkerCall['kind']]: (call: CallOf<K>) => WorkerHttpCall } = {
  lease: (call) => leaseCalls[call.purpose](call),
  prepareTask: ({ kind, ...body }) => ({ method: 'PUT', path: buildTaskPath(body.taskId), body }),
  startTask: ({ taskId }) => ({ method: 'POST', path: buildTaskPath(taskId, '/start') }),
  stopTask: ({ taskId }) => ({ method: 'POST', path: buildTaskPath(taskId, '/stop') }),
  checkpointTask: ({ taskId }) => ({ method: 'POST', path: buildTaskPath(taskId, '/checkpoint') }),
};

/** Builds the HTTP form of a control call. */
export const buildWorkerHttpCall = (call: WorkerCall): WorkerHttpCall =>
  (calls[call.kind] as (of: WorkerCall) => WorkerHttpCall)(call);
