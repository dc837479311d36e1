import { killWorker, startWorker } from './createFakePlatform.js';
import type { FakePlatform } from './FakePlatform.js';

/** Restarts a worker under its ID if it is up; its runs end. */
export const restartWorker = (platform: FakePlatform, id: string): void => {
  if (!platform.workers.get(id)!.up) return;
  killWorker(platform, id);
  startWorker(platform, id);
};
