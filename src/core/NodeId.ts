import type { Role } from './Role.js';

/** Address of one daemon between processes: VM id and role. */
export type NodeId = `${string}/${Role}`;
