import { endWorker } from './endWorker.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';
import { startNextIncarnation } from './startNextIncarnation.js';

/** Kills a worker and starts a new incarnation with the same ID; runs in progress are lost. */
export const restartWorker = async (soak: Soak, worker: SoakWorker): Promise<void> => {
  await endWorker(worker);
  await startNextIncarnation(soak, worker);
};
