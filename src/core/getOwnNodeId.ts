import type { NodeId } from './NodeId.js';
import type { NodeIdentity } from './NodeIdentity.js';

/** Returns the node id of this daemon. */
export const getOwnNodeId = (self: NodeIdentity): NodeId => `${self.vmId}/${self.role}`;
