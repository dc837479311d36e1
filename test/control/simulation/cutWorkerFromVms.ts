import type { FakePlatform } from './FakePlatform.js';
import { scheduleAfter } from './scheduleAfter.js';

/** Cuts a worker off from all VMs; it still reaches the store, and restarts don't end the cut. */
export const cutWorkerFromVms = (platform: FakePlatform, id: string, durationMs: number): void => {
  if (platform.vmCutWorkerIds.has(id)) return;
  platform.vmCutWorkerIds.add(id);
  scheduleAfter(platform, durationMs, () => platform.vmCutWorkerIds.delete(id));
};
