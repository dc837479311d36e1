import { advanceWorker } from './advanceWorker.js';
import { computeLeaseEnd } from './computeLeaseEnd.js';
import { computeWorkerClock } from './computeWorkerClock.js';
import type { FakePlatform } from './FakePlatform.js';
import type { FakeWorker } from './FakeWorker.js';
import { scheduleAfter } from './scheduleAfter.js';

/** Lets the clock of a worker go on at another rate. */
export const setClockRate = (platform: FakePlatform, worker: FakeWorker, rate: number): void => {
  const clockMs = computeWorkerClock(platform, worker);
  worker.clockRate = rate;
  worker.clockZeroAt = platform.now - clockMs / rate;
  const leaseLeftMs = Math.max(0, computeLeaseEnd(worker) - platform.now);
  scheduleAfter(platform, leaseLeftMs, () => advanceWorker(platform, worker));
};
