import { computeLeaseEnd } from './computeLeaseEnd.js';
import { endRun } from './endRun.js';
import type { FakeRun } from './FakeRun.js';
import type { FakeWorker } from './FakeWorker.js';
import type { FakePlatform } from './FakePlatform.js';

const chooseEndKind = (worker: FakeWorker, run: FakeRun): FakeRun['kind'] => {
  if (run.stopping) return 'stopped';
  return worker.failing ? 'failed' : 'done';
};

/** Whether the worker of the run, or of any member of its gang, makes no progress. */
const isStalled = (platform: FakePlatform, worker: FakeWorker, run: FakeRun): boolean => {
  // A stop ends a stalled run too.
  if (run.stopping) return false;
  const workers = run.gang?.members.map(({ workerId }) => platform.workers.get(workerId)) ?? [
    worker,
  ];
  return workers.some((other) => other?.stalled);
};

/** Ends the runs of a worker that have completed or whose lease has lapsed by now. */
export const advanceWorker = (platform: FakePlatform, worker: FakeWorker): void => {
  if (!worker.up) return;
  [...worker.running.values()].forEach((run) => {
    const lapsesAt = computeLeaseEnd(worker);
    const endsAt = Math.min(run.dueAt, lapsesAt);
    // A stalled run does not complete, but it ends when its lease lapses.
    const stalled = endsAt !== lapsesAt && isStalled(platform, worker, run);
    if (platform.now < endsAt || stalled) return;
    // The end is recorded for the time at which it was due, which can be earlier than now.
    const { now } = platform;
    platform.now = endsAt;
    endRun(platform, run, lapsesAt < run.dueAt ? 'lapsed' : chooseEndKind(worker, run));
    platform.now = now;
  });
};
