import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { PendingWrite } from './PendingWrite.js';

/** Creates the lead's next append. */
export const createWrite = (term: Term, records: JournalRecord[], now: Now): PendingWrite => {
  const write: PendingWrite = {
    appendId: 0,
    records,
    sequence: term.sequence,
    starts: [],
    ends: [],
    firstAt: now.at,
    retryAt: now.at,
  };
  term.sequence += 1;
  term.write = write;
  return write;
};
