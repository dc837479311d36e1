import { publishWorkerEntry } from './createFakePlatform.js';
import type { FakePlatform } from './FakePlatform.js';

/** Writes the entry of a worker's present incarnation if the worker is up and not cut off from the store. */
export const registerWorker = (platform: FakePlatform, id: string): void => {
  const worker = platform.workers.get(id)!;
  if (!worker.up || worker.partitioned) return;
  if (platform.cutIds.has(id) || platform.storeCutWorkerIds.has(id)) return;
  publishWorkerEntry(platform, id, worker.draining ? 'draining' : 'ready');
};
