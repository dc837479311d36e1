import type { SettingsSnapshot } from './SettingsSnapshot.js';

/** A recorder sends the settings that it has applied. */
export interface SettingsTreeMessage {
  type: 'settingsTree';
  snapshot: SettingsSnapshot;
}
