import type { SettingsSnapshot } from './SettingsSnapshot.js';

/** Events about settings. */
export interface SettingsEvent {
  /** Derived: a newer tree is in force in this process. */
  type: 'settingsChanged';
  snapshot: SettingsSnapshot;
}
