import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { SoakRelay } from './SoakRelay.js';

/** An entry VM of the soak: its daemon, and the relays to it and from it. */
export interface SoakNode {
  id: string;
  settingsFile: string;
  metricsPort: number;
  /** What clients connect to. */
  frontendRelay: SoakRelay;
  /** What the daemon takes for the store. */
  storeRelay: SoakRelay;
  process: ManagedProcess;
  paused: boolean;
}
