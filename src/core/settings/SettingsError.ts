/** Errors of the settings layer; each leads to a refused proposal. */
export type SettingsError =
  | { kind: 'invalidSettings'; path: string; value: unknown; expected: string }
  | { kind: 'staleVersion'; expectedVersion: number; currentVersion: number }
  | { kind: 'infeasibleGuarantee' };
