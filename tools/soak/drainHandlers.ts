import { entryTtlMs } from '../../standins/store/entryTtlMs.js';
import { readClock } from '../../standins/shared/readClock.js';
import { waitMs } from '../cluster/waitMs.js';
import { beginDrain } from './beginDrain.js';
import { chooseMs } from './chooseMs.js';
import { chooseOne } from './chooseOne.js';
import { injectWorkerCut } from './injectWorkerCut.js';
import type { FaultHandler } from './FaultHandler.js';
import { finishDrain } from './finishDrain.js';
import { listBusyWorkers } from './listBusyWorkers.js';
import { recordFault } from './recordFault.js';
import { runExclusively } from './runExclusively.js';
import { setFaults } from './setFaults.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';
import { runWithoutHeartbeats } from './runWithoutHeartbeats.js';

const heartbeatMs = 1500;
const minDrainMs = 2000;
const maxDrainMs = 14_000;
// Outlasts a lapse of the entry and a cut around it.
const minLongDrainMs = 8000;
const minCutMs = 1500;
const maxAwayMs = 3000;
// A cut begins up to this long before the removal of an entry, or a little after it.
const maxCutLeadMs = 1500;
const maxCutDelayMs = 300;
const minLapseOutageMs = 3500;
const maxLapseOutageMs = 6500;
const drainsPerOutage = 4;
// Time between two such outages, for the jobs that the next one is to meet.
const calmAfterOutageMs = 4000;

/** Waits until shortly before or after the removal of an entry. */
const waitForCut = (soak: Soak, removedAt: number): Promise<void> =>
  waitMs(Math.max(0, removedAt - readClock().at + chooseMs(soak, -maxCutLeadMs, maxCutDelayMs)));

const computeCutMs = (durationMs: number): number => minCutMs + durationMs / 2;

/** Drains a worker, with faults meanwhile, until it leaves. */
const drainWorker = (
  soak: Soak,
  worker: SoakWorker,
  drainMs: number,
  inject: () => Promise<void>,
): Promise<void> =>
  runExclusively(worker, () =>
    recordFault(soak, { kind: 'drain', scope: 'none', targetId: worker.id }, async () => {
      await beginDrain(soak, worker, drainMs);
      await inject();
      await finishDrain(soak, worker, chooseMs(soak, 0, maxAwayMs));
    }),
  );

/** Lets the entry of a worker lapse while VMs reach it, and cuts it off from them around the removal. */
const lapseAndCut = (soak: Soak, worker: SoakWorker, durationMs: number): Promise<void> =>
  runWithoutHeartbeats(soak, worker, async () => {
    await waitForCut(soak, worker.registration.acceptedAt + entryTtlMs);
    await injectWorkerCut(soak, worker, computeCutMs(durationMs));
  });

const injectLapseOutage = (soak: Soak, outageMs: number): Promise<void> =>
  recordFault(soak, { kind: 'storeLapses', scope: 'store', targetId: 'all' }, async () => {
    const outage = chooseOne(soak, ['refuse', 'silent'] as const);
    await setFaults(soak.store.port, { outage, entriesExpire: true });
    await waitMs(outageMs);
    await setFaults(soak.store.port, { outage: 'none', entriesExpire: false });
  });

/** Injects an outage in which entries lapse, unless another one is in progress or has just ended. */
const injectSingleLapseOutage = (soak: Soak, outageMs: number): Promise<void> =>
  runExclusively(soak.store, async () => {
    await injectLapseOutage(soak, outageMs);
    await waitMs(calmAfterOutageMs);
  });

/** Handlers of faults around draining workers and lapsed registry entries, by kind of fault. */
export const drainHandlers: Record<string, FaultHandler> = {
  drainLong: async (soak) => {
    const [worker] = await listBusyWorkers(soak);
    if (!worker) return;
    await drainWorker(soak, worker, chooseMs(soak, minDrainMs, maxDrainMs), async () => {});
  },

  /** The worker leaves while VMs have lost it. */
  drainCutAtExit: async (soak, durationMs) => {
    const [worker] = await listBusyWorkers(soak);
    if (!worker) return;
    await drainWorker(soak, worker, chooseMs(soak, minDrainMs, maxDrainMs), async () => {
      await waitForCut(soak, worker.registration.leavesAt ?? 0);
      await injectWorkerCut(soak, worker, computeCutMs(durationMs));
    });
  },

  drainLapseCut: async (soak, durationMs) => {
    const [worker] = await listBusyWorkers(soak);
    if (!worker) return;
    await drainWorker(soak, worker, chooseMs(soak, minLongDrainMs, maxDrainMs), async () => {
      await waitMs(chooseMs(soak, 0, heartbeatMs));
      await lapseAndCut(soak, worker, durationMs);
    });
  },

  lapseCut: async (soak, durationMs) => {
    const [worker] = await listBusyWorkers(soak);
    if (!worker) return;
    await runExclusively(worker, () => lapseAndCut(soak, worker, durationMs));
  },

  storeLapses: (soak) =>
    injectSingleLapseOutage(soak, chooseMs(soak, minLapseOutageMs, maxLapseOutageMs)),

  /** Workers drain through an outage in which entries lapse, and VMs lose them around the store's return. */
  drainOutageCut: async (soak, durationMs) => {
    if (soak.store.faultInProgress) return;
    const workers = (await listBusyWorkers(soak)).slice(0, drainsPerOutage);
    const outageMs = chooseMs(soak, minLapseOutageMs, maxLapseOutageMs);
    const beginsAt = readClock().at + chooseMs(soak, heartbeatMs / 3, heartbeatMs);
    const drains = workers.map((worker) =>
      drainWorker(soak, worker, chooseMs(soak, minLongDrainMs, maxDrainMs), async () => {
        await waitForCut(soak, beginsAt + outageMs);
        await injectWorkerCut(soak, worker, computeCutMs(durationMs));
      }),
    );
    await waitMs(Math.max(0, beginsAt - readClock().at));
    await injectSingleLapseOutage(soak, outageMs);
    await Promise.all(drains);
  },
};
