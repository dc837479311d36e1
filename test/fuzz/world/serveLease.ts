import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';
import type { WorkerReport } from '../../../src/core/ownership/WorkerReport.js';
import type { FakeWorker } from './FakeWorker.js';
import { traceStep } from './traceStep.js';
import type { World } from './World.js';

type LeaseCall = Extract<WorkerCall, { kind: 'lease' }>;
type Apply = (worker: FakeWorker, call: LeaseCall, now: number) => void;

const renew: Apply = (worker, { holder }, now) => {
  worker.renewal = { holder, at: now, released: false };
};

const applyByPurpose: Record<LeaseCall['purpose'], Apply> = {
  probe: () => {},
  claim: renew,
  renew,
  release: (worker, { holder }) => {
    if (worker.renewal?.holder === holder) worker.renewal.released = true;
  },
};

/** Answers a lease call with the state before it, and applies it. */
export const serveLease = (world: World, worker: FakeWorker, call: LeaseCall): WorkerReport => {
  const { renewal, clock } = worker;
  const since = renewal?.at ?? worker.startedAt;
  const report: WorkerReport = {
    incarnation: `${worker.id}#${worker.incarnation}`,
    leaving: worker.leftAt !== null,
    lastRenewal: {
      holder: renewal?.holder ?? null,
      ageMs: Math.floor((world.now - since) * clock.rate),
      released: renewal?.released ?? false,
    },
    tasks: [],
    activeRequests: [...worker.active],
  };
  applyByPurpose[call.purpose](worker, call, world.now);
  if (call.purpose !== 'probe') {
    traceStep(world, `worker ${worker.id}`, {
      purpose: call.purpose,
      by: call.holder,
      before: report.lastRenewal,
    });
  }
  return report;
};
