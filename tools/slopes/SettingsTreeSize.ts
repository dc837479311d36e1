/** Sizes of a generated settings tree. */
export interface SettingsTreeSize {
  zones: number;
  /** Workers of all zones. */
  workers: number;
  teams: number;
  workspacesPerTeam: number;
}
