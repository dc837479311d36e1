import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';
import type { WorkerReport } from '../../../src/core/ownership/WorkerReport.js';
import type { FakeWorker } from './FakeWorker.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';

type LeaseCall = Extract<WorkerCall, { kind: 'lease' }>;
type Apply = (worker: FakeWorker, call: LeaseCall, now: number) => void;

const renew: Apply = (worker, { holder }, now) => {
  worker.renewal = { holder, at: now, released: false };
};

const purposeHandlers: Record<LeaseCall['purpose'], Apply> = {
  probe: () => {},
  claim: renew,
  renew,
  release: (worker, { holder }) => {
    if (worker.renewal?.holder === holder) worker.renewal.released = true;
  },
};

const listTasks = (worker: FakeWorker, now: number): TaskReport[] =>
  [...worker.tasks.values()].map((task) => ({
    taskId: task.taskId,
    jobId: task.jobId,
    workspace: task.workspace,
    attempt: task.attempt,
    index: task.index,
    parts: task.parts,
    accelerators: task.accelerators,
    state: task.state,
    ...(task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }),
    ranMs: task.ended ? task.ranMs : now - (task.startedAt ?? now),
    ...(task.endedAt === null ? {} : { endedAgoMs: now - task.endedAt }),
  }));

const renewTasks = (simulation: Simulation, worker: FakeWorker, call: LeaseCall): void =>
  call.renewTasks.forEach((taskId) => {
    const task = worker.tasks.get(taskId);
    if (task) task.leaseExpiresAt = simulation.now + call.taskLeaseMs / worker.clock.rate;
  });

/** Applies a lease call and answers with the state before it. */
export const serveLease = (
  simulation: Simulation,
  worker: FakeWorker,
  call: LeaseCall,
): WorkerReport => {
  const { renewal, clock } = worker;
  const lastRenewalAt = renewal?.at ?? worker.startedAt;
  const report: WorkerReport = {
    incarnation: `${worker.id}#${worker.incarnation}`,
    leaving: worker.leftAt !== null,
    lastRenewal: {
      holder: renewal?.holder ?? null,
      ageMs: Math.floor((simulation.now - lastRenewalAt) * clock.rate),
      released: renewal?.released ?? false,
    },
    tasks: listTasks(worker, simulation.now),
    activeRequests: [...worker.activeAttempts],
  };
  purposeHandlers[call.purpose](worker, call, simulation.now);
  renewTasks(simulation, worker, call);
  if (call.purpose !== 'probe') {
    traceStep(simulation, `worker ${worker.id}`, {
      purpose: call.purpose,
      by: call.holder,
      before: report.lastRenewal,
    });
  }
  return report;
};
