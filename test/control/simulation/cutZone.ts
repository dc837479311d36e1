import { publishWorkerEntry } from './createFakePlatform.js';
import type { FakePlatform } from './FakePlatform.js';
import { registerWorker } from './registerWorker.js';
import { scheduleAfter } from './scheduleAfter.js';

// The registry removes an entry after three missed heartbeats.
const entryRemovalMs = 4500;

/** Cuts VMs and workers off from the store and from all others; they still reach each other. */
export const cutZone = (
  platform: FakePlatform,
  ids: readonly string[],
  durationMs: number,
): void => {
  platform.cutIds = new Set(ids);
  const workers = [...platform.workers.values()].filter(({ id }) => ids.includes(id));
  const listRemaining = () =>
    workers.filter((worker) => platform.workers.get(worker.id) === worker && worker.up);
  scheduleAfter(platform, Math.min(entryRemovalMs, durationMs), () =>
    listRemaining().forEach(({ id }) => publishWorkerEntry(platform, id, 'gone')),
  );
  scheduleAfter(platform, durationMs, () => {
    platform.cutIds = new Set();
    listRemaining().forEach(({ id }) => registerWorker(platform, id));
  });
};
