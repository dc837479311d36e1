import type { Role } from '../../src/core/Role.js';
import type { ManagedProcess } from './ManagedProcess.js';

/** One entry VM: its ports, its configuration file and its daemons. */
export interface ClusterVm {
  id: string;
  zone: string;
  httpPort: number;
  meshPorts: Record<Role, number>;
  configFile: string;
  daemons: Partial<Record<Role, ManagedProcess>>;
}
