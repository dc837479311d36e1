import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { estimateEarliestClock } from './estimateEarliestClock.js';
import { minClockRate } from './minClockRate.js';
import type { Worker } from './Worker.js';

// Covers the way of a last renewal by a former lead that has not noticed its successor.
const formerLeaderRenewalMs = 1000;
// Covers the rounding of clock times and the end of the runs at the worker.
const expiryMarginMs = 300;

/** Whether every lease at the worker must have lapsed, so that nothing runs there. */
export const isLeaseExpired = (state: State, term: Term, worker: Worker, now: Now): boolean => {
  if (!worker.clock) {
    const maxLeaseElapsedMs = state.bounds.maxLeaseMs / minClockRate;
    return now.at - term.startedAt > maxLeaseElapsedMs + formerLeaderRenewalMs + expiryMarginMs;
  }
  return estimateEarliestClock(worker, now) > worker.leaseExpiresAt + expiryMarginMs;
};
