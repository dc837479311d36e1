/** How an attempt ended, as told by its gateway. */
export type AttemptOutcome = 'answered' | 'failed' | 'not-sent' | 'unknown';
