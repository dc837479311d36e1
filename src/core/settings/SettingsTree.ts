import type { TeamSettings } from './TeamSettings.js';
import type { ZoneSettings } from './ZoneSettings.js';

/** The whole settings tree. Workspace names are unique across teams. */
export interface SettingsTree {
  zones: Record<string, ZoneSettings>;
  teams: Record<string, TeamSettings>;
}
