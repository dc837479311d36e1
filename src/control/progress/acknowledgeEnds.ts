import type { Term } from '../lead/Term.js';

/** Allows the acknowledgement of ends that change nothing and need no append. */
export const acknowledgeEnds = (term: Term): void => {
  if (!term.endsDue) return;
  term.endsDue = false;
  term.workers.forEach((worker) => {
    if (worker.lastSeen === worker.lastEnd) return;
    worker.lastSeen = worker.lastEnd;
    worker.ackDue = true;
  });
};
