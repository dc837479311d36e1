import type { Term } from '../lead/Term.js';

/** Allows the acknowledgement of ends that change nothing and need no append. */
export const acknowledgeEnds = (term: Term): void => {
  if (!term.endAcksDue) return;
  term.endAcksDue = false;
  term.workers.forEach((worker) => {
    if (worker.lastPersistedEnd === worker.lastAppliedEnd) return;
    worker.lastPersistedEnd = worker.lastAppliedEnd;
    worker.ackDue = true;
  });
};
