import type { SettingsSnapshot } from './SettingsSnapshot.js';

/** Settings of a daemon; the fields besides `inForce` are used by recorders only. */
export interface SettingsState {
  /** Newest tree applied in this process; null until one is known. */
  inForce: SettingsSnapshot | null;
  /** Team of each workspace, rebuilt when the tree changes. */
  teamByWorkspace: Map<string, string>;
}
