import type { ManagedProcess } from '../office/ManagedProcess.js';
import type { SoakLink } from './SoakLink.js';

/** An entry VM of the soak: its daemon, and the relays to it and from it. */
export interface SoakNode {
  id: string;
  settingsFile: string;
  metricsPort: number;
  /** What clients connect to. */
  front: SoakLink;
  /** What the daemon takes for the store. */
  store: SoakLink;
  process: ManagedProcess;
  paused: boolean;
}
