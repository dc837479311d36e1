import { publishWorkerEntry } from '../simulation/createFakePlatform.js';
import { cutWorkerFromStore } from '../simulation/cutWorkerFromStore.js';
import { cutWorkerFromVms } from '../simulation/cutWorkerFromVms.js';
import { drainUntilLeft } from '../simulation/drainUntilLeft.js';
import type { FakePlatform } from '../simulation/FakePlatform.js';
import { registerWorkerAfter } from '../simulation/registerWorkerAfter.js';
import { restartWorker } from '../simulation/restartWorker.js';
import { scheduleAfter } from '../simulation/scheduleAfter.js';
import { storeRecord } from '../simulation/serveStore.js';
import type { ActionHandler } from './ActionHandler.js';
import { computeLapseMs } from './computeLapseMs.js';
import { drainThenCut } from './drainThenCut.js';
import { getBusyWorker } from './getBusyWorker.js';
import { listUnregisteredIds } from './listUnregisteredIds.js';
import type { RegistryKind } from './RegistryKind.js';

// A deleted entry is back with the next heartbeat.
const heartbeatMs = 1500;
const minDrainMs = 2000;
// Within this time after the step, a start or stop meets the restart of its worker.
const observationMs = 3000;
const restartDelaysMs = [0, 2, 5, 50, 500];

/** Lists about a third of the workers. */
const listSomeIds = (platform: FakePlatform, target: number): string[] =>
  [...platform.workers.keys()].filter((_, index) => index % 3 === target % 3);

/** Handlers of the steps in which the registry says something else than the workers do. */
export const registryHandlers: Record<RegistryKind, ActionHandler> = {
  cutWorkerFromStore: (scenario, action) => {
    const { platform } = scenario;
    const { id, up } = getBusyWorker(scenario, action);
    if (!up) return;
    const durationMs = 3000 + 1.5 * action.durationMs;
    cutWorkerFromStore(platform, id, { durationMs, lapsesAfterMs: computeLapseMs(platform) });
  },
  cutWorkerFromVms: (scenario, action) =>
    // At times longer than a lease.
    cutWorkerFromVms(scenario.platform, getBusyWorker(scenario, action).id, 2 * action.durationMs),
  // The store is down for all; the entries of about half of the workers lapse meanwhile.
  lapseEntries: ({ platform }, action) => {
    const durationMs = 1.6 * action.durationMs;
    platform.store.refusing = true;
    scheduleAfter(platform, durationMs, () => {
      platform.store.refusing = false;
    });
    platform.workers.forEach(({ id }) =>
      cutWorkerFromStore(platform, id, {
        durationMs,
        lapsesAfterMs: platform.random() * 2 * durationMs,
      }),
    );
  },
  // The next heartbeats write them again.
  deleteEntries: ({ platform }, { target }) =>
    listSomeIds(platform, target).forEach((id) => {
      publishWorkerEntry(platform, id, 'gone');
      registerWorkerAfter(platform, id, platform.random() * heartbeatMs);
    }),
  // "An entry may come from another writer".
  garbleEntries: ({ platform }, { target }) =>
    listSomeIds(platform, target).forEach((id) => {
      const decoded = { type: 'invalidWorker', id, field: 'address' };
      storeRecord(platform, 'workers', { key: id, value: Buffer.alloc(0), decoded });
      registerWorkerAfter(platform, id, platform.random() * heartbeatMs);
    }),
  drainSlowly: (scenario, action) => {
    const worker = getBusyWorker(scenario, action);
    if (!worker.up || worker.draining) return;
    drainUntilLeft(scenario.platform, worker, {
      leavesAfterMs: minDrainMs + 2 * action.durationMs,
      returnsAfterMs: action.durationMs,
    });
  },
  drainThenCut,
  restartUnregistered: ({ platform }, { target }) => {
    const ids = listUnregisteredIds(platform);
    const id = ids[target % Math.max(1, ids.length)];
    if (id) restartWorker(platform, id);
  },
  // Before the next start or stop arrives, before its answer does, or soon after.
  restartDuringCall: ({ platform }, { target, durationMs }) => {
    const type = target % 2 === 0 ? 'start' : 'stop';
    const restartsAfterMs = restartDelaysMs[durationMs % restartDelaysMs.length]!;
    const observe: Parameters<typeof platform.callObservers.add>[0] = (workerId, call) => {
      if (call.type !== type) return;
      platform.callObservers.delete(observe);
      scheduleAfter(platform, restartsAfterMs, () => restartWorker(platform, workerId));
    };
    platform.callObservers.add(observe);
    scheduleAfter(platform, observationMs, () => platform.callObservers.delete(observe));
  },
};
