import { isJobEnded } from '../plans/isJobEnded.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';

// Clocks of VMs differ and jump by seconds; states are kept longer than is owed.
const keepMarginMs = 60_000;
// Bounds the size of one append.
const mostAtOnce = 50;

/** Lists the records that drop jobs whose state is owed no longer. */
export const listExpired = (state: State, now: Now): JournalRecord[] => {
  const expired = [...state.jobs.values()]
    .filter(
      ({ progress }) =>
        progress !== null &&
        isJobEnded(progress.state) &&
        now.wall - progress.endedAt > state.bounds.statusKeepMs + keepMarginMs,
    )
    .slice(0, mostAtOnce);
  return expired.flatMap(({ id }): JournalRecord[] => [
    { type: 'dropped', of: 'cancellation', id },
    { type: 'dropped', of: 'progress', id },
    { type: 'dropped', of: 'submission', id },
  ]);
};
