import type { NodeId } from './NodeId.js';
import type { Role } from './Role.js';

/** Returns the role of a node. */
export const getNodeRole = (node: NodeId): Role => node.slice(node.lastIndexOf('/') + 1) as Role;
