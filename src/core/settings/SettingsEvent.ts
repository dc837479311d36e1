import type { SettingsSnapshot } from './SettingsSnapshot.js';

/** Event about settings inside a daemon. */
export interface SettingsEvent {
  /** Derived: newer settings were applied in this process. */
  type: 'settingsChanged';
  snapshot: SettingsSnapshot;
}
