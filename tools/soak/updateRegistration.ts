import { waitMs } from '../cluster/waitMs.js';
import { buildWorkerEntry } from './buildWorkerEntry.js';
import { sendHeartbeat } from './sendHeartbeat.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';
import type { WorkerRegistration } from './WorkerRegistration.js';

const retryDelayMs = 300;

/** Changes the registry entry of a worker, or removes it; retries until the store has accepted that. */
export const updateRegistration = async (
  soak: Soak,
  worker: SoakWorker,
  change: Pick<WorkerRegistration, 'state' | 'leavesAt'> | null,
): Promise<void> => {
  Object.assign(worker.registration, change);
  const send = (): Promise<boolean> =>
    sendHeartbeat(soak.store.port, worker, change && buildWorkerEntry(soak, worker));
  // eslint-disable-next-line no-await-in-loop -- attempts are sequential.
  while (!(await send())) {
    // eslint-disable-next-line no-await-in-loop -- delay between attempts.
    await waitMs(retryDelayMs);
  }
};
