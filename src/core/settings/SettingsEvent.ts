import type { SettingsSnapshot } from './SettingsSnapshot.js';

/** Events about settings. */
export interface SettingsEvent {
  /** Derived: newer settings were applied in this process. */
  type: 'settingsChanged';
  snapshot: SettingsSnapshot;
}
