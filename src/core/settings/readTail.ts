import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { maxPageRecords } from './maxPageRecords.js';

/** Time for which the log waits for new records before it answers a read. */
const longPollMs = 1000;
/** Time after which a read without an answer is repeated; longer than the adapter's own timeout. */
const readTimeoutMs = 15_000;

/** Reads the next page of the `settings` stream, unless a read is in flight or not due. */
export const readTail = (state: State, at: number): Effect[] => {
  const { tail } = state.settings;
  if (tail.readId !== null && at - tail.readSentAt < readTimeoutMs) return [];
  if (at < tail.nextReadAt) return [];
  tail.readId = `settings/${state.self.incarnation}/${tail.nextReadNumber}`;
  tail.nextReadNumber += 1;
  tail.readSentAt = at;
  return [
    {
      type: 'readLog',
      readId: tail.readId,
      stream: 'settings',
      fromOffset: tail.nextOffset,
      limit: maxPageRecords,
      waitMs: longPollMs,
    },
  ];
};
