import type { NodeId } from './NodeId.js';
import type { Role } from './Role.js';

/** Returns the role in a node id. */
export const getNodeRole = (node: NodeId): Role => node.slice(node.lastIndexOf('/') + 1) as Role;
