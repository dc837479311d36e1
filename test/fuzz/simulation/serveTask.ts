import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';
import { chooseDelay } from './chooseDelay.js';
import { endTask } from './endTask.js';
import type { FakeTask } from './FakeTask.js';
import type { FakeWorker } from './FakeWorker.js';
import { schedule } from './schedule.js';
import { traceStep } from './traceStep.js';
import { scheduleTaskLeaseExpiry } from './scheduleTaskLeaseExpiry.js';
import type { Simulation } from './Simulation.js';

type TaskCall = Exclude<WorkerCall, { kind: 'lease' }>;
type Reply = (accepted: boolean, checkpoint?: string) => void;
type TaskCallHandler<K extends TaskCall['kind']> = (
  simulation: Simulation,
  worker: FakeWorker,
  call: Extract<TaskCall, { kind: K }>,
  reply: Reply,
) => void;

// Some checkpoints take longer than the scheduler waits.
const minCheckpointMs = 100;
const maxCheckpointMs = 6000;

const startTask = (simulation: Simulation, worker: FakeWorker, task: FakeTask): void => {
  const { taskId, jobId, attempt, index, parts } = task;
  const failing = worker.failureMode !== 'none' && worker.failingUntil > simulation.now;
  task.state = 'running';
  task.startedAt = simulation.now;
  task.run = {
    taskId,
    jobId,
    attempt,
    index,
    parts,
    workerId: worker.id,
    startedAt: simulation.now,
    endedAt: null,
    end: null,
  };
  simulation.history.taskRuns.push(task.run);
  traceStep(simulation, `task ${taskId}`, `runs on ${worker.id}`);
  schedule(simulation, simulation.now + (failing ? 1 : task.runMs), () =>
    endTask(simulation, task, failing ? 'failed' : 'finished'),
  );
};

const taskCallHandlers: { readonly [K in TaskCall['kind']]: TaskCallHandler<K> } = {
  prepareTask: (simulation, worker, call, reply) => {
    const known = worker.tasks.get(call.taskId);
    if (known) {
      reply(!known.ended);
      return;
    }
    const { kind, leaseMs, payload, ...spec } = call;
    const task: FakeTask = {
      ...spec,
      state: 'prepared',
      ranMs: 0,
      runMs: Number(payload),
      leaseExpiresAt: simulation.now + leaseMs / worker.clock.rate,
      startedAt: null,
      ended: false,
      endedAt: null,
      run: null,
    };
    worker.tasks.set(call.taskId, task);
    traceStep(simulation, `task ${call.taskId}`, `${kind} on ${worker.id}`);
    scheduleTaskLeaseExpiry(simulation, task);
    reply(true);
  },
  startTask: (simulation, worker, { taskId }, reply) => {
    const task = worker.tasks.get(taskId);
    if (task?.state === 'prepared') startTask(simulation, worker, task);
    reply(task !== undefined && task.startedAt !== null);
  },
  stopTask: (simulation, worker, { taskId }, reply) => {
    const task = worker.tasks.get(taskId);
    if (task) endTask(simulation, task, 'stopped');
    reply(true);
  },
  checkpointTask: (simulation, worker, { taskId }, reply) => {
    const task = worker.tasks.get(taskId);
    if (task?.state !== 'running') {
      reply(false);
      return;
    }
    schedule(
      simulation,
      simulation.now + chooseDelay(simulation, minCheckpointMs, maxCheckpointMs),
      () => {
        if (task.state !== 'running') return;
        task.checkpoint = `checkpoint:${taskId}:${simulation.now}`;
        reply(true, task.checkpoint);
      },
    );
  },
};

/** Serves a task call; a repeated call has no further effect. */
export const serveTask = (
  simulation: Simulation,
  worker: FakeWorker,
  call: TaskCall,
  reply: Reply,
): void =>
  (taskCallHandlers[call.kind] as TaskCallHandler<TaskCall['kind']>)(
    simulation,
    worker,
    call,
    reply,
  );
