import { endRun } from './endRun.js';
import type { FakeRun } from './FakeRun.js';
import type { FakeWorker } from './FakeWorker.js';
import type { Office } from './Office.js';

const chooseKind = (worker: FakeWorker, run: FakeRun): FakeRun['kind'] => {
  if (run.stopping) return 'stopped';
  return worker.failing ? 'failed' : 'done';
};

/** A gang moves on with all of its members only. */
const isHanging = (office: Office, worker: FakeWorker, run: FakeRun): boolean => {
  if (run.stopping) return false;
  const workers = run.gang?.members.map(({ workerId }) => office.workers.get(workerId)) ?? [worker];
  return workers.some((other) => other?.hanging);
};

/** Brings a worker up to the present: what is done has ended, and what lost its lease too. */
export const settleWorker = (office: Office, worker: FakeWorker): void => {
  if (!worker.up) return;
  [...worker.running.values()].forEach((run) => {
    const lapsesAt = worker.leaseUntil + worker.bootAt;
    const endsAt = Math.min(run.dueAt, lapsesAt);
    const hangs = endsAt !== lapsesAt && isHanging(office, worker, run);
    if (office.now < endsAt || hangs) return;
    const { now } = office;
    office.now = endsAt;
    endRun(office, run, lapsesAt < run.dueAt ? 'lapsed' : chooseKind(worker, run));
    office.now = now;
  });
};
