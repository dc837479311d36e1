import type { FakePlatform } from './FakePlatform.js';
import type { FakeWorker } from './FakeWorker.js';

/** Computes the time on a worker's own clock. */
export const computeWorkerClock = ({ now }: FakePlatform, worker: FakeWorker): number =>
  (now - worker.clockZeroAt) * worker.clockRate;
