/** Purpose of a lease call to a worker. */
export type LeasePurpose = 'probe' | 'claim' | 'renew' | 'release';
