/**
 * Why an append is not known to be done. After `unknown` it may be done now or later; after all
 * others it was not done.
 */
export type AppendFailure = 'refused' | 'unknown' | 'fenced' | 'sequence' | 'conflict' | 'invalid';
