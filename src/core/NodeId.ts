import type { Role } from './Role.js';

/** Identifies a daemon in the cluster: VM id and role. */
export type NodeId = `${string}/${Role}`;
