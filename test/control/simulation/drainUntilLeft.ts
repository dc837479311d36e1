import { killWorker, publishWorkerEntry, startWorker } from './createFakePlatform.js';
import type { FakePlatform } from './FakePlatform.js';
import type { FakeWorker } from './FakeWorker.js';
import { registerWorker } from './registerWorker.js';
import { scheduleAfter } from './scheduleAfter.js';

// The entry is removed shortly after the worker has left.
const maxRemovalMs = 300;
const retryIntervalMs = 1000;

interface Drain {
  /** Time from the report to the exit. */
  leavesAfterMs: number;
  /** Time from the exit to the next start under the same ID. */
  returnsAfterMs: number;
}

const leave = (platform: FakePlatform, { id }: FakeWorker, returnsAfterMs: number): void => {
  killWorker(platform, id);
  scheduleAfter(platform, platform.random() * maxRemovalMs, () => {
    if (!platform.workers.get(id)!.up) publishWorkerEntry(platform, id, 'gone');
  });
  scheduleAfter(platform, maxRemovalMs + returnsAfterMs, () => {
    if (!platform.workers.get(id)!.up) startWorker(platform, id);
  });
};

/** Drains a worker that leaves afterwards; its report waits while it is cut off from the store. */
export const drainUntilLeft = (platform: FakePlatform, worker: FakeWorker, drain: Drain): void => {
  worker.draining = true;
  registerWorker(platform, worker.id);
  const leaveOnceReported = (): void => {
    if (platform.workers.get(worker.id) !== worker || !worker.up) return;
    const isCut =
      worker.partitioned ||
      platform.cutIds.has(worker.id) ||
      platform.storeCutWorkerIds.has(worker.id);
    // It serves on until the store has accepted its report.
    if (isCut) scheduleAfter(platform, retryIntervalMs, leaveOnceReported);
    else leave(platform, worker, drain.returnsAfterMs);
  };
  scheduleAfter(platform, drain.leavesAfterMs, leaveOnceReported);
};
