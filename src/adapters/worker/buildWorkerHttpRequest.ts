import type { LeasePurpose } from '../../core/ownership/LeasePurpose.js';
import type { WorkerCall } from '../../core/ownership/WorkerCall.js';
import type { WorkerHttpRequest } from './WorkerHttpRequest.js';

type CallOf<K extends WorkerCall['kind']> = Extract<WorkerCall, { kind: K }>;

const buildRenewal = ({
  holder,
  leaseMs,
  taskLeaseMs,
  renewTasks,
}: CallOf<'lease'>): WorkerHttpRequest => ({
  method: 'POST',
  path: '/v1/lease',
  body: { holder, leaseMs, taskLeaseMs, renewTasks },
});

const leaseRequestBuilders: Record<LeasePurpose, (call: CallOf<'lease'>) => WorkerHttpRequest> = {
  probe: () => ({ method: 'GET', path: '/v1/lease' }),
  claim: buildRenewal,
  renew: buildRenewal,
  release: ({ holder }) => ({
    method: 'DELETE',
    path: `/v1/lease?holder=${encodeURIComponent(holder)}`,
  }),
};

const buildTaskPath = (taskId: string, action = ''): string =>
  `/v1/tasks/${encodeURIComponent(taskId)}${action}`;

const requestBuilders: {
  readonly [K in WorkerCall['kind']]: (call: CallOf<K>) => WorkerHttpRequest;
} = {
  lease: (call) => leaseRequestBuilders[call.purpose](call),
  prepareTask: ({ kind, ...body }) => ({ method: 'PUT', path: buildTaskPath(body.taskId), body }),
  startTask: ({ taskId }) => ({ method: 'POST', path: buildTaskPath(taskId, '/start') }),
  stopTask: ({ taskId }) => ({ method: 'POST', path: buildTaskPath(taskId, '/stop') }),
  checkpointTask: ({ taskId }) => ({ method: 'POST', path: buildTaskPath(taskId, '/checkpoint') }),
};

/** Builds the HTTP request of a control call. */
export const buildWorkerHttpRequest = (call: WorkerCall): WorkerHttpRequest =>
  (requestBuilders[call.kind] as (input: WorkerCall) => WorkerHttpRequest)(call);
