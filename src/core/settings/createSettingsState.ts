import type { SettingsState } from './SettingsState.js';

/** Creates the settings state of a daemon that knows no tree. */
export const createSettingsState = (): SettingsState => ({
  inForce: null,
  teamByWorkspace: new Map(),
});
