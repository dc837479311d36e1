import type { OwnershipState } from './OwnershipState.js';

/** Creates the lease table of a scheduler that holds nothing. */
export const createOwnershipState = (): OwnershipState => ({
  leases: new Map(),
  lead: false,
  leadSince: 0,
  lastWithoutWorkersAt: null,
});
