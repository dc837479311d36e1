import { Agent } from 'undici';
import type { z } from 'zod';
import type { Effect } from '../../core/Effect.js';
import type { WorkerCall } from '../../core/ownership/WorkerCall.js';
import type { WorkerReport } from '../../core/ownership/WorkerReport.js';
import type { Timing } from '../../core/Timing.js';
import type { WorkerUsageLine } from '../../core/usage/WorkerUsageLine.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { EffectRunners } from '../EffectRunners.js';
import { buildWorkerHttpRequest } from './buildWorkerHttpRequest.js';
import { callWorkerHttp } from './callWorkerHttp.js';
import { taskResponseSchema } from './taskResponseSchema.js';
import { usageResponseSchema } from './usageResponseSchema.js';
import { workerReportSchema } from './workerReportSchema.js';

type CallEffect<C> = Omit<Extract<Effect, { type: 'callWorker' }>, 'call'> & { call: C };
type LeaseCall = Extract<WorkerCall, { kind: 'lease' }>;
type TaskCall = Exclude<WorkerCall, LeaseCall>;

const toUsageLine = (
  line: z.output<typeof usageResponseSchema>['lines'][number],
): WorkerUsageLine => ({
  seq: line.seq,
  taskId: line.taskId,
  jobId: line.jobId,
  workspace: line.workspace,
  accelerators: line.accelerators,
  ranMs: line.endedWall - line.startedWall,
  ended: true,
});

// Control calls have their own connections, so that short requests cannot delay a lease renewal.
const createAgent = (): Agent => new Agent({ connections: 4, pipelining: 1 });

/** Creates the runners of control calls to workers; each call results in one event. */
export const createWorkerRunners = (
  { workerCallTimeoutMs, checkpointMs }: Pick<Timing, 'workerCallTimeoutMs' | 'checkpointMs'>,
  push: (event: UntimedEvent) => void,
): Required<Pick<EffectRunners, 'callWorker' | 'readWorkerUsage'>> => {
  const agent = createAgent();
  const callLease = ({ workerId, url, call }: CallEffect<LeaseCall>): void => {
    const { purpose, sentAt } = call;
    callWorkerHttp(
      agent,
      url,
      buildWorkerHttpRequest(call),
      workerReportSchema,
      workerCallTimeoutMs,
    ).match(
      (report) =>
        push({
          type: 'leaseAnswered',
          workerId,
          purpose,
          sentAt,
          report: report as WorkerReport,
        }),
      ({ message }) => push({ type: 'leaseFailed', workerId, purpose, sentAt, error: message }),
    );
  };
  const callTask = ({ workerId, url, call }: CallEffect<TaskCall>): void => {
    const { kind, taskId } = call;
    // A worker responds to a checkpoint call when the checkpoint is complete.
    const timeoutMs = kind === 'checkpointTask' ? checkpointMs : workerCallTimeoutMs;
    callWorkerHttp(agent, url, buildWorkerHttpRequest(call), taskResponseSchema, timeoutMs).match(
      ({ accepted, checkpoint }) =>
        push({
          type: 'taskAnswered',
          workerId,
          taskId,
          call: kind,
          accepted,
          ...(checkpoint === undefined ? {} : { checkpoint }),
        }),
      ({ message }) =>
        push({ type: 'taskCallFailed', workerId, taskId, call: kind, error: message }),
    );
  };
  return {
    callWorker: ({ call, ...target }) => {
      if (call.kind === 'lease') callLease({ ...target, call });
      else callTask({ ...target, call });
    },
    readWorkerUsage: ({ workerId, url, after }) => {
      const call = { method: 'GET', path: `/v1/usage?after=${after}` } as const;
      callWorkerHttp(agent, url, call, usageResponseSchema, workerCallTimeoutMs).match(
        ({ incarnation, lines }) =>
          push({ type: 'workerUsageRead', workerId, incarnation, lines: lines.map(toUsageLine) }),
        // Nothing is lost: the next read returns the same lines again.
        () => undefined,
      );
    },
  };
};
