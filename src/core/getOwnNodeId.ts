import type { NodeId } from './NodeId.js';
import type { NodeIdentity } from './NodeIdentity.js';

/** Returns this daemon's address between processes. */
export const getOwnNodeId = (self: NodeIdentity): NodeId => `${self.vmId}/${self.role}`;
