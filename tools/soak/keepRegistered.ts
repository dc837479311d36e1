import { buildWorkerEntry } from './buildWorkerEntry.js';
import { sendHeartbeat } from './sendHeartbeat.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';

const heartbeatMs = 1500;

/** Sends the heartbeats of a worker to the registry, while it sends any; returns the timer that does. */
export const keepRegistered = (soak: Soak, worker: SoakWorker): NodeJS.Timeout =>
  setInterval(() => {
    if (!worker.registration.sendsHeartbeats) return;
    // A heartbeat that fails is a missed one.
    sendHeartbeat(soak.store.port, worker, buildWorkerEntry(soak, worker)).catch(() => {});
  }, heartbeatMs);
