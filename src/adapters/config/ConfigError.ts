import type { ConfigIssue } from './ConfigIssue.js';

/** Why a configuration could not be loaded. */
export type ConfigError =
  | { type: 'unreadable'; file: string; reason: string }
  | { type: 'invalidToml'; file: string; line: number; column: number; reason: string }
  | { type: 'invalidValues'; file: string; issues: ConfigIssue[] };
