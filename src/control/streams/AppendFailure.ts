/**
 * Why an append is not known to have succeeded. After `unknown` it may have taken effect or still do
 * so; after all others it has no effect. `refused`: the store can't be reached or takes no appends now;
 * `fenced`: a higher token has appended; `sequence`: the sequence number doesn't follow the last one;
 * `conflict`: the stream ends at another offset; `invalid`: any other rejection.
 */
export type AppendFailure = 'refused' | 'unknown' | 'fenced' | 'sequence' | 'conflict' | 'invalid';
