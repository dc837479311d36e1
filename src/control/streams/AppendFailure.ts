/**
 * Why an append is not known to have succeeded. After `unknown` it may have taken effect or still do
 * so; after all others it has no effect.
 */
export type AppendFailure = 'refused' | 'unknown' | 'fenced' | 'sequence' | 'conflict' | 'invalid';
