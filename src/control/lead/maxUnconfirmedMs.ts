/**
 * How long after its last successful append a leader may still grant leases. A successor waits as long,
 * from the moment at which it has fenced the leader out, before it takes such a lease as expired.
 */
export const maxUnconfirmedMs = 2500;
