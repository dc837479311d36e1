/** Why a read of a stream gave no records. */
export type ReadFailure = 'expired' | 'refused' | 'unreachable' | 'malformed';
