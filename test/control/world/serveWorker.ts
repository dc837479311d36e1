import type { WorkerAnswer } from '../../../src/control/workers/WorkerAnswer.js';
import type { WorkerCall } from '../../../src/control/workers/WorkerCall.js';
import type { WorkerEffect } from '../../../src/control/workers/WorkerEffect.js';
import { after } from './after.js';
import { beginGang } from './beginGang.js';
import { computeCheckpoint } from './computeCheckpoint.js';
import type { FakeRun } from './FakeRun.js';
import type { FakeVm } from './FakeVm.js';
import type { FakeWorker } from './FakeWorker.js';
import type { Office } from './Office.js';
import { readSavedMs } from './readSavedMs.js';
import { settleWorker } from './settleWorker.js';

const wayMs = 1;
const latestLateMs = 4000;
const longestStopMs = 200;

/** Run time of a task: the number in its spec, which ends with `s` if the task saves its progress. */
const readRunMs = (spec: string): number => Number.parseInt(spec, 10);

const readClock = (office: Office, worker: FakeWorker): number => office.now - worker.bootAt;

/** Has the worker end what ends by then without being asked. */
const planSettle = (office: Office, worker: FakeWorker, delayMs: number): void =>
  after(office, delayMs, () => settleWorker(office, worker));

const extendLease = (office: Office, worker: FakeWorker, until: number): void => {
  const clock = readClock(office, worker);
  worker.leaseUntil = Math.max(worker.leaseUntil, Math.min(until, clock + office.maxLeaseMs));
  planSettle(office, worker, Math.max(0, worker.leaseUntil - clock));
};

const startRun = (
  office: Office,
  worker: FakeWorker,
  call: Extract<WorkerCall, { type: 'start' }>,
): WorkerAnswer => {
  const clock = readClock(office, worker);
  if (call.until < clock) return { type: 'refused', reason: 'late', clock };
  if ((worker.over.get(call.task) ?? 0) >= call.run)
    return { type: 'refused', reason: 'old-run', clock };
  extendLease(office, worker, call.until);
  if (worker.running.has(call.task)) return { type: 'done', clock };
  const run: FakeRun = {
    task: call.task,
    run: call.run,
    workerId: worker.id,
    startedAt: office.now,
    dueAt: Number.POSITIVE_INFINITY,
    gang: null,
    beganAt: null,
    workMs: Math.max(0, readRunMs(call.spec) - readSavedMs(call.checkpoint)) / worker.speed,
    saves: call.spec.endsWith('s'),
    endCheckpoint: '',
    endedAt: null,
    stopping: false,
    kind: null,
    checkpoint: call.checkpoint,
    noted: false,
    lapsedSince: false,
  };
  worker.running.set(call.task, run);
  office.runs.push(run);
  beginGang(office, run);
  return { type: 'done', clock };
};

const stopRun = (
  office: Office,
  worker: FakeWorker,
  call: Extract<WorkerCall, { type: 'stop' }>,
): WorkerAnswer => {
  const run = worker.running.get(call.task);
  worker.over.set(call.task, Math.max(call.run, worker.over.get(call.task) ?? 0));
  if (run && run.run <= call.run && !run.stopping) {
    run.stopping = true;
    const stopMs = office.random() * longestStopMs;
    run.dueAt = Math.min(run.dueAt, office.now + stopMs);
    planSettle(office, worker, stopMs);
  }
  return { type: 'done', clock: readClock(office, worker) };
};

// The platform's figure is rough: a long run shows 100 long before its end.
const percentRate = 200;

const computePercent = (office: Office, worker: FakeWorker, run: FakeRun): number => {
  if (worker.hanging || run.beganAt === null) return 0;
  // Members of a gang end together, but each moves on at the speed of its worker.
  const share = (office.now - run.beganAt) / Math.max(1, run.workMs);
  return Math.min(100, Math.floor(percentRate * share));
};

const listRuns = (office: Office, worker: FakeWorker): WorkerAnswer => ({
  type: 'listing',
  clock: readClock(office, worker),
  born: worker.entry.born,
  running: [...worker.running.values()].map((run) => ({
    task: run.task,
    run: run.run,
    checkpoint: computeCheckpoint(office, run),
    percent: computePercent(office, worker, run),
  })),
  ended: worker.ended.map(({ number, run }) => ({
    number,
    task: run.task,
    run: run.run,
    kind: run.kind === 'gone' ? 'stopped' : run.kind!,
    checkpoint: run.endCheckpoint,
  })),
});

const holdRuns = (
  office: Office,
  worker: FakeWorker,
  call: Extract<WorkerCall, { type: 'hold' }>,
): WorkerAnswer => {
  if (call.until !== null) extendLease(office, worker, call.until);
  worker.ended.forEach(({ number, run }) => {
    if (number <= call.lastSeen) run.noted = true;
  });
  worker.ended = worker.ended.filter(({ number }) => number > call.lastSeen);
  return listRuns(office, worker);
};

const carryOut = (
  office: Office,
  worker: FakeWorker,
  token: number,
  call: WorkerCall,
): WorkerAnswer => {
  settleWorker(office, worker);
  if (readClock(office, worker) > worker.leaseUntil) {
    worker.ended.forEach(({ run }) => {
      run.lapsedSince = true;
    });
  }
  if (token < worker.token) return { type: 'refused', reason: 'fenced', clock: null };
  worker.token = token;
  if (call.type === 'start') return startRun(office, worker, call);
  if (call.type === 'stop') return stopRun(office, worker, call);
  return holdRuns(office, worker, call);
};

/** Answers a look that waits: at the next end, or when its wait is over. */
const waitForEnd = (
  office: Office,
  worker: FakeWorker,
  call: Extract<WorkerCall, { type: 'hold' }>,
  answer: () => void,
): void => {
  const isListed = worker.ended.some(({ number }) => number > call.lastSeen);
  let waits = true;
  const answerOnce = (): void => {
    if (!waits) return;
    waits = false;
    worker.waiters.delete(answerOnce);
    answer();
  };
  if (!isListed) worker.waiters.add(answerOnce);
  after(office, isListed ? 0 : call.waitMs, answerOnce);
};

const isReachable = ({ up, cutOff }: FakeWorker): boolean => up && !cutOff;

/** Serves one call of a VM to a worker. */
export const serveWorker = (
  office: Office,
  vm: FakeVm,
  effect: Extract<WorkerEffect, { type: 'callWorker' }>,
): void => {
  const { life } = vm;
  const { workerId, token, call, timeoutMs } = effect;
  const sentAt = office.now;
  const worker = office.workers.get(workerId);
  const reply = (answer: WorkerAnswer, delayMs: number): void =>
    after(office, delayMs, () => {
      if (vm.life === life) {
        office.push(vm, { type: 'workerAnswered', workerId, token, call, sentAt, answer });
      }
    });
  const late = call.type !== 'hold' && office.random() < office.lateShare;
  if (!worker || vm.cutFromWorkers || !isReachable(worker) || late) {
    reply({ type: 'unanswered' }, timeoutMs);
    if (late && worker) {
      after(office, timeoutMs + office.random() * latestLateMs, () => {
        if (worker.up) carryOut(office, worker, token, call);
      });
    }
    return;
  }
  after(office, wayMs, () => {
    if (!isReachable(worker)) {
      reply({ type: 'unanswered' }, timeoutMs);
      return;
    }
    const first = call.type === 'hold' ? { ...call, waitMs: 0 } : call;
    const refused = carryOut(office, worker, token, first);
    if (call.type !== 'hold' || refused.type === 'refused') {
      reply(refused, wayMs);
      return;
    }
    waitForEnd(office, worker, call, () => {
      if (!isReachable(worker) || vm.cutFromWorkers) reply({ type: 'unanswered' }, timeoutMs);
      else reply(carryOut(office, worker, token, { ...call, until: null }), wayMs);
    });
  });
};
