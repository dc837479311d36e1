import type { State } from '../State.js';

/**
 * Tells whether a worker must get no new work, according to the worker, the VM list or the
 * settings.
 */
export const isWorkerLeaving = (state: State, workerId: string): boolean =>
  (state.ownership.leases.get(workerId)?.leaving ?? false) ||
  state.membership.vmStates.get(workerId) === 'leaving' ||
  (state.settings.inForce?.tree.zones[state.self.zone]?.workers[workerId]?.drained ?? false);
