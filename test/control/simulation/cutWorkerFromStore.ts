import { publishWorkerEntry } from './createFakePlatform.js';
import type { FakePlatform } from './FakePlatform.js';
import { registerWorkerAfter } from './registerWorkerAfter.js';
import { scheduleAfter } from './scheduleAfter.js';

// "Entries that expired [...] are back within about two seconds".
const maxReturnMs = 2000;

interface StoreCut {
  durationMs: number;
  /** Time from the beginning of the cut to the removal of the entry; later than its end for none. */
  lapsesAfterMs: number;
}

/** Cuts a worker off from the store only; restarts don't end the cut. */
export const cutWorkerFromStore = (platform: FakePlatform, id: string, cut: StoreCut): void => {
  const { durationMs, lapsesAfterMs } = cut;
  if (platform.storeCutWorkerIds.has(id)) return;
  platform.storeCutWorkerIds.add(id);
  if (lapsesAfterMs < durationMs)
    scheduleAfter(platform, lapsesAfterMs, () => publishWorkerEntry(platform, id, 'gone'));
  scheduleAfter(platform, durationMs, () => {
    platform.storeCutWorkerIds.delete(id);
    registerWorkerAfter(platform, id, platform.random() * maxReturnMs);
  });
};
