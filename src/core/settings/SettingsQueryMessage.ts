/** A daemon asks a recorder for a tree that is newer than its own version. */
export interface SettingsQueryMessage {
  type: 'settingsQuery';
  /** Version in force at the sender; -1 without one. */
  version: number;
}
