import type { EventOf } from '../EventOf.js';
import type { StreamRead } from './StreamRead.js';

/** Advances a read past a received page; returns whether the end of the stream is reached. */
export const advanceRead = (read: StreamRead, event: EventOf<'logRead'>): boolean => {
  const isAtEnd = event.records.length === 0 && event.oldestOffset <= read.nextOffset;
  read.readId = null;
  // Skips records that have expired meanwhile.
  read.nextOffset = Math.max(event.nextOffset, event.oldestOffset);
  return isAtEnd;
};
