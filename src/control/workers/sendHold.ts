import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { Term } from '../lead/Term.js';
import { estimateClock } from './estimateClock.js';
import type { Worker } from './Worker.js';

// Outlasts a take-over and most cuts; work on a worker that crashed for good waits as long.
const longestLeaseMs = 10_000;
// A look shows ends at once; the wait bounds how often an idle worker is asked.
const holdWaitMs = 1500;
const answerTimeoutMs = 700;

/**
 * Ends are acknowledged once, and only right after a listing: the number would also make a new life
 * of the worker forget its first ends.
 */
const chooseLastSeen = (worker: Worker): number =>
  worker.ackDue && worker.failures === 0 ? worker.lastSeen : 0;

/** Asks a worker what runs and what ended, and renews its lease. */
export const sendHold = (state: State, term: Term, worker: Worker, now: Now): Effect[] => {
  const clock = estimateClock(worker, now);
  // A silent worker is not renewed, so that its lease ends at a known time.
  const renewed = clock !== null && worker.failures === 0;
  const leaseMs = Math.min(longestLeaseMs, state.bounds.maxLeaseMs);
  const until = renewed ? clock + leaseMs : null;
  if (until !== null) worker.leaseUntil = Math.max(worker.leaseUntil, until);
  worker.holdSentAt = now.at;
  const lastSeen = chooseLastSeen(worker);
  // The first answer tells the clock, or that a cut has healed, and unwritten ends are known already.
  // A number of ends that waits could reach a new life that has ended as many by then.
  const prompt = !renewed || worker.lastEnd > worker.lastSeen || lastSeen > 0;
  const waitMs = prompt ? 0 : holdWaitMs;
  return [
    {
      type: 'callWorker',
      workerId: worker.id,
      address: worker.address,
      token: term.token,
      call: { type: 'hold', until, lastSeen, waitMs },
      timeoutMs: waitMs + answerTimeoutMs,
    },
  ];
};
