import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { getEarliestClock } from './getEarliestClock.js';
import { slowestClock } from './slowestClock.js';
import type { Worker } from './Worker.js';

// Covers the way of a last renewal by a former lead that has not noticed its successor.
const formerLeadMs = 1000;
// Covers the rounding of clock times and the end of the runs at the worker.
const lapseMarginMs = 300;

/** Whether every lease at the worker must have lapsed, so that nothing runs there. */
export const isLeaseOver = (state: State, term: Term, worker: Worker, now: Now): boolean => {
  if (!worker.clock) {
    const longestMs = state.bounds.maxLeaseMs / slowestClock;
    return now.at - term.since > longestMs + formerLeadMs + lapseMarginMs;
  }
  return getEarliestClock(worker, now) > worker.leaseUntil + lapseMarginMs;
};
