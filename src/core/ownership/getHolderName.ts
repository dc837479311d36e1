import type { Self } from '../Self.js';

/** Returns the name under which this process holds leases; a restarted process has another one. */
export const getHolderName = (self: Self): string => `${self.vmId}/${self.incarnation}`;
