import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';
import { startWorker } from './startWorker.js';
import { updateRegistration } from './updateRegistration.js';
import { waitForListening } from './waitForListening.js';

/** Starts a new incarnation of a worker that has ended, with the same ID. */
export const startNextIncarnation = async (soak: Soak, worker: SoakWorker): Promise<void> => {
  worker.incarnation = Date.now();
  worker.process = startWorker(worker);
  // The next fault calls its control interface.
  await waitForListening(worker.process);
  await updateRegistration(soak, worker, { state: 'ready', leavesAt: null });
  worker.registration.sendsHeartbeats = true;
};
