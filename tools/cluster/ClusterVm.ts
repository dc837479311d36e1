import type { Role } from '../../src/core/Role.js';
import type { ManagedProcess } from './ManagedProcess.js';

/** An entry VM with its ports, configuration file and daemons. */
export interface ClusterVm {
  id: string;
  zone: string;
  httpPort: number;
  meshPorts: Record<Role, number>;
  configFile: string;
  /** Daemons that run, by role. */
  daemons: Partial<Record<Role, ManagedProcess>>;
}
