import type { Refusal } from '../Refusal.js';
import type { SettingsError } from './SettingsError.js';

/** Characters of an invalid value that are quoted in an error text. */
const maxValueLength = 80;

const describeValue = (value: unknown): string => {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
};

type Translations = {
  readonly [K in SettingsError['kind']]: (error: Extract<SettingsError, { kind: K }>) => Refusal;
};

const translations: Translations = {
  invalidSettings: ({ path, value, expected }) => ({
    reason: 'invalid-settings',
    outcome: 'not-run',
    detail: `${path}: got ${describeValue(value)}, ${expected}`,
  }),
  staleVersion: ({ expectedVersion, currentVersion }) => ({
    reason: 'stale-version',
    outcome: 'not-run',
    detail: `expected version ${expectedVersion}, but the subtree has version ${currentVersion}`,
  }),
  infeasibleGuarantee: () => ({
    reason: 'infeasible-guarantee',
    outcome: 'not-run',
    detail: 'the guaranteed shapes of all workspaces cannot be placed together',
  }),
};

/** Translates a settings error into the refusal that the operator receives. */
export const translateSettingsError = (error: SettingsError): Refusal =>
  (translations[error.kind] as (of: SettingsError) => Refusal)(error);
