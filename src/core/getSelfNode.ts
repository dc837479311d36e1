import type { NodeId } from './NodeId.js';
import type { Self } from './Self.js';

/** Returns this daemon's address between processes. */
export const getSelfNode = (self: Self): NodeId => `${self.vmId}/${self.role}`;
