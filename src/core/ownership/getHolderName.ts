import type { NodeIdentity } from '../NodeIdentity.js';

/** Returns the name under which this process holds leases; a restarted process has another one. */
export const getHolderName = (self: NodeIdentity): string => `${self.vmId}/${self.incarnation}`;
