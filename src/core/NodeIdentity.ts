import type { Role } from './Role.js';

/** Identity of a daemon: its place and role from the configuration, and its process. */
export interface NodeIdentity {
  vmId: string;
  zone: string;
  role: Role;
  /** Random id of the process; it changes with each restart. */
  incarnation: string;
}
