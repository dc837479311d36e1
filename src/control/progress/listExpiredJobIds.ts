import type { Job } from '../jobs/Job.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';

// Job states are kept longer than required, because VM clocks differ and jump by seconds.
const retentionMarginMs = 60_000;
// Limits the size of one append.
const maxExpiredPerAppend = 50;

/** When the job ended, or was cancelled without ever being submitted; null if it has to be kept. */
const getEndedAt = ({ state, endedAt, submission, cancelledAt }: Job): number | null => {
  if (isJobEnded(state)) return endedAt;
  return submission ? null : cancelledAt;
};

/** Lists ended jobs whose state no longer has to be kept, and cancellations whose job was never submitted. */
export const listExpiredJobIds = (state: State, now: Now): string[] => {
  const keepMs = state.bounds.statusKeepMs + retentionMarginMs;
  return [...state.jobs.values()]
    .filter((job) => {
      const endedAt = getEndedAt(job);
      return endedAt !== null && now.wall - endedAt > keepMs;
    })
    .slice(0, maxExpiredPerAppend)
    .map(({ id }) => id);
};
