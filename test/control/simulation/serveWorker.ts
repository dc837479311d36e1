import type { WorkerAnswer } from '../../../src/control/workers/WorkerAnswer.js';
import type { WorkerCall } from '../../../src/control/workers/WorkerCall.js';
import type { WorkerEffect } from '../../../src/control/workers/WorkerEffect.js';
import { scheduleAfter } from './scheduleAfter.js';
import { beginRunWork } from './beginRunWork.js';
import { computeCheckpoint } from './computeCheckpoint.js';
import { computeLeaseEnd } from './computeLeaseEnd.js';
import { computeWorkerClock } from './computeWorkerClock.js';
import type { FakeRun } from './FakeRun.js';
import type { FakeVm } from './FakeVm.js';
import type { FakeWorker } from './FakeWorker.js';
import type { FakePlatform } from './FakePlatform.js';
import { parseCheckpointMs } from './parseCheckpointMs.js';
import { advanceWorker } from './advanceWorker.js';

const oneWayMs = 1;
// An unanswered call is applied at most this long after its timeout.
const maxLateMs = 4000;
// Ends in one listing; the others follow once these are acknowledged.
const maxListedEnds = 500;
// A run ends at most this long after its stop was requested.
const maxStopMs = 200;

/** Parses the run time in the spec of a task; the spec ends with `s` if the task saves checkpoints. */
const parseRunMs = (spec: string): number => Number.parseInt(spec, 10);

/** Schedules an update of the worker, so that due runs end even if no call arrives. */
const scheduleAdvance = (platform: FakePlatform, worker: FakeWorker, delayMs: number): void =>
  scheduleAfter(platform, delayMs, () => advanceWorker(platform, worker));

const renewLease = (platform: FakePlatform, worker: FakeWorker, expiresAt: number): void => {
  const clock = computeWorkerClock(platform, worker);
  worker.leaseExpiryMs = Math.max(
    worker.leaseExpiryMs,
    Math.min(expiresAt, clock + platform.maxLeaseMs),
  );
  scheduleAdvance(platform, worker, Math.max(0, computeLeaseEnd(worker) - platform.now));
};

/** A call as the worker gets it, without its content. */
interface Order {
  vmId: string;
  token: number;
  /** Whether the worker carries it out only after its timeout. */
  isLate: boolean;
}

const startRun = (
  platform: FakePlatform,
  worker: FakeWorker,
  { vmId, isLate }: Order,
  call: Extract<WorkerCall, { type: 'start' }>,
): WorkerAnswer => {
  const clock = computeWorkerClock(platform, worker);
  if (worker.refusingStarts) return { type: 'refused', reason: 'unhealthy', clockMs: null };
  if (call.expiresAt < clock) return { type: 'refused', reason: 'late', clockMs: clock };
  if ((worker.endedRunByTask.get(call.task) ?? 0) >= call.run)
    return { type: 'refused', reason: 'old-run', clockMs: clock };
  renewLease(platform, worker, call.expiresAt);
  if (worker.running.has(call.task)) return { type: 'done', clockMs: clock };
  const run: FakeRun = {
    task: call.task,
    run: call.run,
    workerId: worker.id,
    starterId: vmId,
    startedLate: isLate,
    startedAt: platform.now,
    dueAt: Number.POSITIVE_INFINITY,
    gang: null,
    workStartedAt: null,
    remainingWorkMs:
      Math.max(0, parseRunMs(call.spec) - parseCheckpointMs(call.checkpoint)) / worker.speed,
    savesCheckpoints: call.spec.endsWith('s'),
    finalCheckpoint: '',
    endedAt: null,
    stopping: false,
    kind: null,
    checkpoint: call.checkpoint,
    noted: false,
    lapsedSince: false,
  };
  worker.running.set(call.task, run);
  platform.runs.push(run);
  beginRunWork(platform, run);
  return { type: 'done', clockMs: clock };
};

const stopRun = (
  platform: FakePlatform,
  worker: FakeWorker,
  call: Extract<WorkerCall, { type: 'stop' }>,
): WorkerAnswer => {
  const run = worker.running.get(call.task);
  worker.endedRunByTask.set(
    call.task,
    Math.max(call.run, worker.endedRunByTask.get(call.task) ?? 0),
  );
  if (run && run.run <= call.run && !run.stopping) {
    run.stopping = true;
    const stopMs = platform.random() * maxStopMs;
    run.dueAt = Math.min(run.dueAt, platform.now + stopMs);
    scheduleAdvance(platform, worker, stopMs);
  }
  return { type: 'done', clockMs: computeWorkerClock(platform, worker) };
};

// Reported percentage per share of the run time. The platform reports coarse progress: a long run shows
// 100 percent long before its end.
const percentRate = 200;

const computePercent = (platform: FakePlatform, worker: FakeWorker, run: FakeRun): number => {
  if (worker.stalled || run.workStartedAt === null) return 0;
  // Members of a gang end together, but each progresses at the speed of its worker.
  const share = (platform.now - run.workStartedAt) / Math.max(1, run.remainingWorkMs);
  return Math.min(100, Math.floor(percentRate * share));
};

const listRuns = (platform: FakePlatform, worker: FakeWorker): WorkerAnswer => ({
  type: 'listing',
  clockMs: computeWorkerClock(platform, worker),
  incarnation: worker.entry.incarnation,
  running: [...worker.running.values()].map((run) => ({
    task: run.task,
    run: run.run,
    checkpoint: computeCheckpoint(platform, run),
    percent: computePercent(platform, worker, run),
  })),
  hasAllEnds: worker.unacknowledgedEnds.length <= maxListedEnds,
  ended: worker.unacknowledgedEnds.slice(0, maxListedEnds).map(({ sequenceNumber, run }) => ({
    sequenceNumber,
    task: run.task,
    run: run.run,
    kind: run.kind === 'gone' ? 'stopped' : run.kind!,
    checkpoint: run.finalCheckpoint,
  })),
});

const handlePoll = (
  platform: FakePlatform,
  worker: FakeWorker,
  call: Extract<WorkerCall, { type: 'poll' }>,
): WorkerAnswer => {
  if (call.expiresAt !== null) renewLease(platform, worker, call.expiresAt);
  worker.unacknowledgedEnds.forEach(({ sequenceNumber, run }) => {
    if (sequenceNumber <= call.acknowledgedEnd) run.noted = true;
  });
  worker.unacknowledgedEnds = worker.unacknowledgedEnds.filter(
    ({ sequenceNumber }) => sequenceNumber > call.acknowledgedEnd,
  );
  return listRuns(platform, worker);
};

const applyCall = (
  platform: FakePlatform,
  worker: FakeWorker,
  order: Order,
  call: WorkerCall,
): WorkerAnswer => {
  advanceWorker(platform, worker);
  if (computeWorkerClock(platform, worker) > worker.leaseExpiryMs) {
    worker.unacknowledgedEnds.forEach(({ run }) => {
      run.lapsedSince = true;
    });
  }
  if (order.token < worker.highestToken)
    return { type: 'refused', reason: 'fenced', clockMs: null };
  worker.highestToken = order.token;
  if (call.type === 'start') return startRun(platform, worker, order, call);
  if (call.type === 'stop') return stopRun(platform, worker, call);
  return handlePoll(platform, worker, call);
};

/** Answers a poll at the next end of a run, or when its wait is over. */
const waitForEnd = (
  platform: FakePlatform,
  worker: FakeWorker,
  call: Extract<WorkerCall, { type: 'poll' }>,
  answer: () => void,
): void => {
  const hasNewEnd = worker.unacknowledgedEnds.some(
    ({ sequenceNumber }) => sequenceNumber > call.acknowledgedEnd,
  );
  let waiting = true;
  const answerOnce = (): void => {
    if (!waiting) return;
    waiting = false;
    worker.pendingPolls.delete(answerOnce);
    answer();
  };
  if (!hasNewEnd) worker.pendingPolls.add(answerOnce);
  scheduleAfter(platform, hasNewEnd ? 0 : call.waitMs, answerOnce);
};

const isReachable = (platform: FakePlatform, vm: FakeVm, worker: FakeWorker): boolean =>
  worker.up &&
  !worker.partitioned &&
  !platform.vmCutWorkerIds.has(worker.id) &&
  !vm.partitionedFromWorkers &&
  platform.cutIds.has(vm.id) === platform.cutIds.has(worker.id);

/** Serves a worker call of a VM. */
export const serveWorker = (
  platform: FakePlatform,
  vm: FakeVm,
  effect: Extract<WorkerEffect, { type: 'callWorker' }>,
): void => {
  const { incarnation } = vm;
  const { workerId, token, call, timeoutMs } = effect;
  const sentAt = platform.now;
  const order = { vmId: vm.id, token, isLate: false };
  if (call.type !== 'poll') platform.callObservers.forEach((observe) => observe(workerId, call));
  const worker = platform.workers.get(workerId);
  const reply = (answer: WorkerAnswer, delayMs: number): void =>
    scheduleAfter(platform, delayMs, () => {
      if (vm.incarnation === incarnation) {
        platform.push(vm, { type: 'workerAnswered', workerId, token, call, sentAt, answer });
      }
    });
  const isLate = call.type !== 'poll' && platform.random() < platform.lateCallShare;
  const isLost =
    call.type !== 'poll' &&
    platform.lostCallShare > 0 &&
    platform.random() < platform.lostCallShare;
  if (!worker || !isReachable(platform, vm, worker) || isLate || isLost) {
    reply({ type: 'unanswered' }, timeoutMs);
    if (isLate && !isLost) {
      scheduleAfter(platform, timeoutMs + platform.random() * maxLateMs, () => {
        // By then a new incarnation may have the same ID and address.
        const lateWorker = platform.lateCallsReachRestarted
          ? platform.workers.get(workerId)
          : worker;
        if (lateWorker?.up) applyCall(platform, lateWorker, { ...order, isLate }, call);
      });
    }
    return;
  }
  scheduleAfter(platform, oneWayMs, () => {
    if (!isReachable(platform, vm, worker)) {
      reply({ type: 'unanswered' }, timeoutMs);
      return;
    }
    // Renews the lease and acknowledges ends at once; the listing is built after the wait.
    const callWithoutWait = call.type === 'poll' ? { ...call, waitMs: 0 } : call;
    const answer = applyCall(platform, worker, order, callWithoutWait);
    if (call.type !== 'poll' || answer.type === 'refused') {
      reply(answer, oneWayMs);
      return;
    }
    waitForEnd(platform, worker, call, () => {
      if (!isReachable(platform, vm, worker)) reply({ type: 'unanswered' }, timeoutMs);
      else reply(applyCall(platform, worker, order, { ...call, expiresAt: null }), oneWayMs);
    });
  });
};
