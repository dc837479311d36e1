import { isJobEnded } from '../plans/isJobEnded.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';

// Clocks of VMs differ and jump by seconds; states are kept longer than is owed.
const retentionMarginMs = 60_000;
// Bounds the size of one append.
const maxExpiredPerAppend = 50;

/** Lists the jobs whose state is owed no longer. */
export const listExpiredJobIds = (state: State, now: Now): string[] =>
  [...state.jobs.values()]
    .filter(
      (job) =>
        isJobEnded(job.state) &&
        now.wall - job.endedAt > state.bounds.statusKeepMs + retentionMarginMs,
    )
    .slice(0, maxExpiredPerAppend)
    .map(({ id }) => id);
