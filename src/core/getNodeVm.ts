import type { NodeId } from './NodeId.js';

/** Returns the VM id of a node. */
export const getNodeVm = (node: NodeId): string => node.slice(0, node.lastIndexOf('/'));
