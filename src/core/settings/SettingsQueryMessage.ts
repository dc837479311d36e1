/** A daemon that has an older tree asks a recorder for its newest one. */
export interface SettingsQueryMessage {
  type: 'settingsQuery';
  version: number;
}
