import type { LogFields } from '../LogFields.js';
import type { State } from '../State.js';

// Shown for an age before the first read, which is infinite.
const unknownAgeMs = 1e9;

const computeAgeMs = (since: number, at: number): number =>
  Math.round(Math.min(at - since, unknownAgeMs));

/** Builds the log fields that tell how much of the journal this VM has read, and how old that view is. */
export const describeJournalView = ({ streams }: State, at: number): LogFields => {
  const { nextOffset, lastSuccessAt, endReadSentAt } = streams.journal;
  return {
    journalOffset: nextOffset,
    journalAgeMs: computeAgeMs(lastSuccessAt, at),
    // Age of the last read that returned the end, counted from when it was sent.
    journalEndAgeMs: computeAgeMs(endReadSentAt, at),
  };
};
