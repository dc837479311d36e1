import type { NodeId } from './NodeId.js';

/** Returns the VM id in a node id. */
export const getNodeVm = (node: NodeId): string => node.slice(0, node.lastIndexOf('/'));
