import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { maxPageRecords } from './maxPageRecords.js';

const longPollMs = 1000;
/** A read without an answer for this long is given up; the adapter's own timeout is shorter. */
const readTimeoutMs = 15_000;

/** Starts the next read of the `settings` stream unless one is in flight or a pause is due. */
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
