/** Sizes of a generated settings tree. */
export interface TreeSize {
  zones: number;
  /** Workers of all zones. */
  workers: number;
  teams: number;
  workspacesPerTeam: number;
}
