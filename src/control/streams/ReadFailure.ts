/** Why a read of a stream failed; after `expired` the records at the offset are no longer stored. */
export type ReadFailure = 'expired' | 'refused' | 'unreachable' | 'malformed';
