/** Reasons for which a proposal is refused. */
export type SettingsError =
  | { kind: 'invalidSettings'; path: string; value: unknown; expected: string }
  | { kind: 'staleVersion'; expectedVersion: number; currentVersion: number }
  | { kind: 'infeasibleGuarantee' };
