/** How a command of `siskin` ended. */
export type ExitReason =
  | 'ok'
  | 'internal-error'
  | 'usage'
  | 'not-run'
  | 'outcome-unknown'
  | 'unreachable'
  | 'invalid-settings'
  | 'stale-version'
  | 'job-not-finished'
  | 'answer-error';
