import type { FakePlatform } from './FakePlatform.js';
import { registerWorker } from './registerWorker.js';
import { scheduleAfter } from './scheduleAfter.js';

const retryIntervalMs = 500;

/** Writes the entry of a worker after a delay; while the store is down, the worker tries again. */
export const registerWorkerAfter = (platform: FakePlatform, id: string, delayMs: number): void =>
  scheduleAfter(platform, delayMs, () => {
    if (platform.store.refusing) registerWorkerAfter(platform, id, retryIntervalMs);
    else registerWorker(platform, id);
  });
