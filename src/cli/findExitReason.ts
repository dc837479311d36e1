import type { RefusalReason } from '../core/RefusalReason.js';
import type { CliError } from './CliError.js';
import type { ExitReason } from './ExitReason.js';

/** Reasons on which scripts often branch. */
const exitByErrorCode: Partial<Record<RefusalReason, ExitReason>> = {
  'invalid-settings': 'invalid-settings',
  'infeasible-guarantee': 'invalid-settings',
  'stale-version': 'stale-version',
};

const exitByErrorType: Readonly<Record<Exclude<CliError['type'], 'refused'>, ExitReason>> = {
  usage: 'usage',
  unreachable: 'unreachable',
  interrupted: 'outcome-unknown',
  invalidSettings: 'invalid-settings',
  // A proxy in between may have answered after the request was processed.
  unexpectedAnswer: 'outcome-unknown',
};

/** Finds how a command ends that failed with an error. */
export const findExitReason = (error: CliError): ExitReason => {
  if (error.type !== 'refused') return exitByErrorType[error.type];
  if (error.problem.outcome === 'unknown') return 'outcome-unknown';
  return exitByErrorCode[error.problem.code] ?? 'not-run';
};
