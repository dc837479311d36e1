import type { RefusalReason } from '../core/RefusalReason.js';
import type { CliError } from './CliError.js';
import type { ExitName } from './ExitName.js';

/** Reasons on which scripts often branch. */
const exitByCode: Partial<Record<RefusalReason, ExitName>> = {
  'invalid-settings': 'invalid-settings',
  'infeasible-guarantee': 'invalid-settings',
  'stale-version': 'stale-version',
};

const exitByType: Readonly<Record<Exclude<CliError['type'], 'refused'>, ExitName>> = {
  usage: 'usage',
  unreachable: 'unreachable',
  interrupted: 'outcome-unknown',
  invalidSettings: 'invalid-settings',
  // A proxy in between may have answered after the request was processed.
  unexpectedAnswer: 'outcome-unknown',
};

/** Finds how a command ends that failed with an error. */
export const findErrorExit = (error: CliError): ExitName => {
  if (error.type !== 'refused') return exitByType[error.type];
  if (error.problem.outcome === 'unknown') return 'outcome-unknown';
  return exitByCode[error.problem.code] ?? 'not-run';
};
