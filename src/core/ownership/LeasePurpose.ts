/** Why a worker's lease was called. */
export type LeasePurpose = 'probe' | 'claim' | 'renew' | 'release';
