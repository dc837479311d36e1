import { readClock } from '../../standins/shared/readClock.js';
import { waitMs } from '../cluster/waitMs.js';
import { endWorker } from './endWorker.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';
import { startNextIncarnation } from './startNextIncarnation.js';
import { updateRegistration } from './updateRegistration.js';

/** Ends a draining worker at its time, removes its registry entry, and starts it anew after some time. */
export const finishDrain = async (
  soak: Soak,
  worker: SoakWorker,
  awayMs: number,
): Promise<void> => {
  await waitMs(Math.max(0, (worker.registration.leavesAt ?? 0) - readClock().at));
  await endWorker(worker);
  await updateRegistration(soak, worker, null);
  await waitMs(awayMs);
  await startNextIncarnation(soak, worker);
};
