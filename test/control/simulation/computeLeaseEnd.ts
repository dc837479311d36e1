import type { FakeWorker } from './FakeWorker.js';

/** Computes the virtual time at which the lease of a worker expires. */
export const computeLeaseEnd = ({ clockZeroAt, clockRate, leaseExpiryMs }: FakeWorker): number =>
  leaseExpiryMs / clockRate + clockZeroAt;
