import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { LeaderStream } from './LeaderStream.js';
import type { PendingAppend } from './PendingAppend.js';

/** Creates the leader's next append to a stream and makes it pending. */
export const createAppend = (
  term: Term,
  stream: LeaderStream,
  records: PendingAppend['records'],
  now: Now,
): PendingAppend => {
  const writer = term.writers[stream];
  const append: PendingAppend = {
    stream,
    appendId: 0,
    records,
    sequence: writer.nextSequence,
    startsToSend: [],
    endsToAcknowledge: [],
    firstAttemptAt: now.at,
    firstAttemptResponsiveAt: now.responsiveAt,
    nextAttemptAt: now.at,
  };
  writer.nextSequence += 1;
  writer.pending = append;
  writer.lastAppendAt = now.at;
  return append;
};
