import type { Term } from '../lead/Term.js';
import { isEndHeld } from './isEndHeld.js';

/** Allows run ends that change no record to be acknowledged without an append. */
export const acknowledgeEnds = (term: Term): void => {
  if (!term.endAcksDue) return;
  term.endAcksDue = false;
  term.workers.forEach((worker) => {
    if (worker.lastPersistedEnd === worker.lastAppliedEnd || isEndHeld(term, worker.id)) return;
    worker.lastPersistedEnd = worker.lastAppliedEnd;
    worker.ackDue = true;
  });
};
