import type { SettingsSnapshot } from './SettingsSnapshot.js';

/** A recorder pushes the tree that it has applied. */
export interface SettingsTreeMessage {
  type: 'settingsTree';
  snapshot: SettingsSnapshot;
}
