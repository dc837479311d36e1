import { cutWorkerFromStore } from '../simulation/cutWorkerFromStore.js';
import { cutWorkerFromVms } from '../simulation/cutWorkerFromVms.js';
import { drainUntilLeft } from '../simulation/drainUntilLeft.js';
import { scheduleAfter } from '../simulation/scheduleAfter.js';
import type { ActionHandler } from './ActionHandler.js';
import { computeLapseMs } from './computeLapseMs.js';
import { getBusyWorker } from './getBusyWorker.js';

const minDrainMs = 2000;
const maxCutAfterMs = 2000;
// The cut from the VMs begins between these times before and after the removal of the entry.
const maxBeforeRemovalMs = 1500;
const maxAfterRemovalMs = 500;

/** Drains a worker, which falls silent to the store, and to the VMs near the removal of its entry. */
export const drainThenCut: ActionHandler = (scenario, action) => {
  const { platform } = scenario;
  const worker = getBusyWorker(scenario, action);
  if (!worker.up || worker.draining) return;
  drainUntilLeft(platform, worker, {
    leavesAfterMs: minDrainMs + 2 * action.durationMs,
    returnsAfterMs: action.durationMs,
  });
  const cutAfterMs = platform.random() * maxCutAfterMs;
  const lapsesAfterMs = computeLapseMs(platform);
  scheduleAfter(platform, cutAfterMs, () => {
    if (platform.workers.get(worker.id) !== worker || !worker.up) return;
    cutWorkerFromStore(platform, worker.id, {
      durationMs: lapsesAfterMs + action.durationMs,
      lapsesAfterMs,
    });
  });
  const offsetMs = platform.random() * (maxBeforeRemovalMs + maxAfterRemovalMs);
  scheduleAfter(platform, cutAfterMs + lapsesAfterMs - maxBeforeRemovalMs + offsetMs, () =>
    cutWorkerFromVms(platform, worker.id, action.durationMs),
  );
};
