import type { RefusalReason } from '../core/RefusalReason.js';
import type { CliError } from './CliError.js';
import type { ExitReason } from './ExitReason.js';

/** Refusals with an exit code of their own, because scripts often branch on them. */
const exitReasonByProblemCode: Partial<Record<RefusalReason, ExitReason>> = {
  'invalid-settings': 'invalid-settings',
  'infeasible-guarantee': 'invalid-settings',
  'stale-version': 'stale-version',
};

const exitReasonByErrorType: Readonly<Record<Exclude<CliError['type'], 'refused'>, ExitReason>> = {
  usage: 'usage',
  unreachable: 'unreachable',
  interrupted: 'outcome-unknown',
  invalidSettings: 'invalid-settings',
  // The response may come from a proxy after a gateway has processed the request.
  unexpectedAnswer: 'outcome-unknown',
};

/** Finds the exit reason of a command that failed. */
export const findExitReason = (error: CliError): ExitReason => {
  if (error.type !== 'refused') return exitReasonByErrorType[error.type];
  if (error.problem.outcome === 'unknown') return 'outcome-unknown';
  return exitReasonByProblemCode[error.problem.code] ?? 'not-run';
};
