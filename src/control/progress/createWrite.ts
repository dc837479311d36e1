import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { LeadStream } from './LeadStream.js';
import type { PendingWrite } from './PendingWrite.js';

/** Creates the lead's next append to a stream. */
export const createWrite = (
  term: Term,
  stream: LeadStream,
  records: PendingWrite['records'],
  now: Now,
): PendingWrite => {
  const writer = term.writers[stream];
  const write: PendingWrite = {
    stream,
    appendId: 0,
    records,
    sequence: writer.sequence,
    starts: [],
    ends: [],
    firstAt: now.at,
    retryAt: now.at,
  };
  writer.sequence += 1;
  writer.write = write;
  writer.lastAt = now.at;
  return write;
};
