/**
 * How an attempt ended, as told by its gateway. `unused`: the grant was given back; `abandoned`:
 * the caller left, so the outcome is unknown through no fault of the worker.
 */
export type AttemptOutcome =
  'answered' | 'failed' | 'not-sent' | 'unknown' | 'unused' | 'abandoned';
