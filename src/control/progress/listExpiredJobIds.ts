import { isJobEnded } from '../plans/isJobEnded.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';

// Job states are kept longer than required, because VM clocks differ and jump by seconds.
const retentionMarginMs = 60_000;
// Limits the size of one append.
const maxExpiredPerAppend = 50;

/** Lists ended jobs whose state no longer has to be kept. */
export const listExpiredJobIds = (state: State, now: Now): string[] =>
  [...state.jobs.values()]
    .filter(
      (job) =>
        isJobEnded(job.state) &&
        now.wall - job.endedAt > state.bounds.statusKeepMs + retentionMarginMs,
    )
    .slice(0, maxExpiredPerAppend)
    .map(({ id }) => id);
