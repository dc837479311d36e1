import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { SoakRelay } from './SoakRelay.js';

/** An entry VM of the soak test: its daemon and the relays in front of its frontend and of the store. */
export interface SoakNode {
  id: string;
  /** Address from which its calls reach the store. */
  address: string;
  settingsFile: string;
  metricsPort: number;
  /** Relay between the clients and its frontend. */
  frontendRelay: SoakRelay;
  /** Relay between its daemon and the store. */
  storeRelay: SoakRelay;
  process: ManagedProcess;
  /** Log lines of its earlier processes. */
  formerLines: string[];
  /** Whether a fault is in progress at its daemon. */
  faultInProgress: boolean;
}
