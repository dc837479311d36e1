import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { advanceWorker } from './simulation/advanceWorker.js';
import {
  createFakePlatform,
  killWorker,
  publishWorkerEntry,
  startWorker,
} from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import type { FakeWorker } from './simulation/FakeWorker.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { scheduleAfter } from './simulation/scheduleAfter.js';
import { submitJob } from './simulation/submitJob.js';

/** Renews the lease as a call does that was sent to the former life of a worker: its time is far ahead of the new clock. */
const renewLeaseLate = (platform: FakePlatform, worker: FakeWorker): void => {
  worker.leaseExpiryMs = platform.now - worker.bootAt + platform.maxLeaseMs;
  scheduleAfter(platform, platform.maxLeaseMs, () => advanceWorker(platform, worker));
};

// Guards against a lease that a late call of the worker's former life renewed, and that the leader takes as over: the time in such
// a call is on the former clock, so only the longest lease bounds it.
test.each(['ready', 'draining'] as const)(
  'a late call of a former life renews the lease of a %s worker',
  (state) => {
    const platform = createFakePlatform({ vms: 1, workers: 1 });
    advanceTime(platform, 30_000);
    killWorker(platform, 'w0');
    startWorker(platform, 'w0');
    advanceTime(platform, 700);
    submitJob(platform, 'a', { runMs: 30_000 });
    advanceTime(platform, 200);
    startWorker(platform, 'w1');
    publishWorkerEntry(platform, 'w0', state);
    advanceTime(platform, 1100);
    const worker = platform.workers.get('w0')!;
    renewLeaseLate(platform, worker);
    advanceTime(platform, 100);
    worker.partitioned = true;
    advanceTime(platform, 20_000);
    expect(findRunViolations(platform)).toEqual([]);
  },
);
