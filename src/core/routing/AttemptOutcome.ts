/**
 * How an attempt ended, as reported by its gateway. `answered`: with a status below 500; `failed`:
 * with a status of 500 or above; `not-sent`: the worker got nothing; `unknown`: the request may
 * have run; `unused`: the grant was returned; `abandoned`: the caller disconnected, so the outcome
 * is unknown but the worker is not at fault.
 */
export type AttemptOutcome =
  'answered' | 'failed' | 'not-sent' | 'unknown' | 'unused' | 'abandoned';
