import type { State } from '../State.js';

/** Tells whether the platform lists a VM as leaving. */
export const isVmLeaving = (state: State, vmId: string): boolean =>
  state.membership.vmStates.get(vmId) === 'leaving';
