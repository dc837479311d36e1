import { maxUnconfirmedMs } from '../lead/maxUnconfirmedMs.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { estimateEarliestClock } from './estimateEarliestClock.js';
import { minClockRate } from './minClockRate.js';
import type { Worker } from './Worker.js';

// Allows for rounded clock times and for the time that the worker takes to end its runs.
const expiryMarginMs = 300;

/** Whether any lease of the worker must have expired, so that none of its runs can be alive. */
export const isLeaseExpired = (state: State, term: Term, worker: Worker, now: Now): boolean => {
  if (!worker.clock) {
    // A former leader that has not noticed its successor may have renewed it for a while.
    const maxElapsedMs = maxUnconfirmedMs + state.bounds.maxLeaseMs / minClockRate;
    return now.at - term.fencedAt > maxElapsedMs + expiryMarginMs;
  }
  return estimateEarliestClock(worker, now) > worker.leaseExpiresAt + expiryMarginMs;
};
