/** Outcome of a `siskin` command; each has an exit code of its own. */
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
