import { waitMs } from '../cluster/waitMs.js';
import { chooseOne } from './chooseOne.js';
import { noRelayFaults } from './noRelayFaults.js';
import { recordFault } from './recordFault.js';
import { setFaults } from './setFaults.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';

const cuts = [
  { mode: 'freeze', scope: 'orders' },
  { mode: 'reset', scope: 'other' },
] as const;

/** Cuts a worker off from all VMs for some time; its connections hold their data back or are reset. */
export const injectWorkerCut = (
  soak: Soak,
  { id, relay }: SoakWorker,
  durationMs: number,
): Promise<void> => {
  const { mode, scope } = chooseOne(soak, cuts);
  return recordFault(soak, { kind: `cutWorker (${mode})`, scope, targetId: id }, async () => {
    await setFaults(relay.controlPort, { cut: true, cutMode: mode, cutSide: 'both' });
    await waitMs(durationMs);
    await setFaults(relay.controlPort, noRelayFaults);
  });
};
