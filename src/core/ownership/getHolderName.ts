import type { NodeIdentity } from '../NodeIdentity.js';

/** Returns the name under which this process holds leases; it differs after a restart. */
export const getHolderName = (self: NodeIdentity): string => `${self.vmId}/${self.incarnation}`;
