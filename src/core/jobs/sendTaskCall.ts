import type { Effect } from '../Effect.js';
import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { WorkerCall } from '../ownership/WorkerCall.js';
import type { State } from '../State.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';

type TaskCallKind = Exclude<WorkerCall['kind'], 'lease'>;

const buildPrepareCall = (state: State, job: Job, part: JobPart): WorkerCall => {
  const checkpoint = job.checkpoints?.[part.index];
  return {
    kind: 'prepareTask',
    taskId: part.taskId,
    jobId: job.id,
    workspace: job.workspace,
    attempt: job.attempt,
    index: part.index,
    parts: job.spec.tasks,
    accelerators: job.spec.acceleratorsPerTask,
    leaseMs: state.timing.taskLeaseMs,
    payload: job.spec.payload,
    ...(checkpoint === undefined ? {} : { checkpoint }),
  };
};

/** Sends a task call to the worker of a part, unless this scheduler does not hold the worker. */
export const sendTaskCall = (
  state: State,
  job: Job,
  part: JobPart,
  kind: TaskCallKind,
  at: number,
): Effect[] => {
  const zone = state.settings.inForce?.tree.zones[state.self.zone];
  const url = zone?.workers[part.workerId]?.url;
  if (url === undefined || !isWorkerHeld(state, part.workerId, at)) return [];
  const call: WorkerCall =
    kind === 'prepareTask' ? buildPrepareCall(state, job, part) : { kind, taskId: part.taskId };
  return [{ type: 'callWorker', workerId: part.workerId, url, call }];
};
