/**
 * How an attempt ended, as reported by its gateway. `unused`: the grant was returned; `abandoned`:
 * the caller disconnected, so the outcome is unknown but the worker is not at fault.
 */
export type AttemptOutcome =
  'answered' | 'failed' | 'not-sent' | 'unknown' | 'unused' | 'abandoned';
