import { readClock } from '../../standins/shared/readClock.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';
import { updateRegistration } from './updateRegistration.js';

/** Reports a worker as draining, which leaves after some time; returns when the store has accepted that. */
export const beginDrain = (soak: Soak, worker: SoakWorker, remainingMs: number): Promise<void> =>
  updateRegistration(soak, worker, {
    state: 'draining',
    leavesAt: readClock().at + remainingMs,
  });
