import type { EventOf } from '../EventOf.js';
import type { StreamRead } from './StreamRead.js';

/** Moves a read behind the page that has come; tells whether the stream has ended there. */
export const advanceRead = (read: StreamRead, event: EventOf<'logRead'>): boolean => {
  const isAtEnd = event.records.length === 0 && event.oldestOffset <= read.nextOffset;
  read.readId = null;
  // Records that expired meanwhile are skipped.
  read.nextOffset = Math.max(event.nextOffset, event.oldestOffset);
  return isAtEnd;
};
