import type { Role } from './Role.js';

/** What a daemon knows of itself from its configuration. */
export interface NodeIdentity {
  vmId: string;
  zone: string;
  role: Role;
  /** Random id of this process; a restarted daemon has another one. */
  incarnation: string;
}
