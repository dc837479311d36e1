import { recordFault } from './recordFault.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';

/** Cuts a worker off from the store alone while something else happens; VMs still reach it. */
export const runWithoutHeartbeats = async (
  soak: Soak,
  worker: SoakWorker,
  inject: () => Promise<void>,
): Promise<void> => {
  const fault = { kind: 'cutFromStore', scope: 'other' as const, targetId: worker.id };
  await recordFault(soak, fault, async () => {
    worker.registration.sendsHeartbeats = false;
    await inject();
    worker.registration.sendsHeartbeats = true;
  });
};
