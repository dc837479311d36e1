import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { SoakRelay } from './SoakRelay.js';

/** An entry VM of the soak test: its daemon and the relays before and behind it. */
export interface SoakNode {
  id: string;
  settingsFile: string;
  metricsPort: number;
  /** Relay that clients connect to. */
  frontendRelay: SoakRelay;
  /** Relay that the daemon reaches the store through. */
  storeRelay: SoakRelay;
  process: ManagedProcess;
  paused: boolean;
}
