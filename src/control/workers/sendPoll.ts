import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { Term } from '../lead/Term.js';
import { estimateClock } from './estimateClock.js';
import type { Worker } from './Worker.js';

// Outlasts a take-over and most cuts; work on a worker that crashed for good waits as long.
const targetLeaseMs = 10_000;
// A look shows ends at once; the wait bounds how often an idle worker is asked.
const pollWaitMs = 1500;
const responseTimeoutMs = 700;

/**
 * Ends are acknowledged once, and only right after a listing: the number would also make a new life
 * of the worker forget its first ends.
 */
const chooseAcknowledgedEnd = (worker: Worker): number =>
  worker.ackDue && worker.failedPolls === 0 ? worker.lastPersistedEnd : 0;

/** Asks a worker what runs and what ended, and renews its lease. */
export const sendPoll = (state: State, term: Term, worker: Worker, now: Now): Effect[] => {
  const clock = estimateClock(worker, now);
  // A silent worker is not renewed, so that its lease ends at a known time.
  const renewsLease = clock !== null && worker.failedPolls === 0;
  const leaseMs = Math.min(targetLeaseMs, state.bounds.maxLeaseMs);
  const expiresAt = renewsLease ? clock + leaseMs : null;
  if (expiresAt !== null) worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, expiresAt);
  worker.pollSentAt = now.at;
  const acknowledgedEnd = chooseAcknowledgedEnd(worker);
  // The first answer tells the clock, or that a cut has healed, and unwritten ends are known already.
  // A number of ends that waits could reach a new life that has ended as many by then.
  const answersAtOnce =
    !renewsLease || worker.lastAppliedEnd > worker.lastPersistedEnd || acknowledgedEnd > 0;
  const waitMs = answersAtOnce ? 0 : pollWaitMs;
  return [
    {
      type: 'callWorker',
      workerId: worker.id,
      address: worker.address,
      token: term.token,
      call: { type: 'hold', expiresAt, acknowledgedEnd, waitMs },
      timeoutMs: waitMs + responseTimeoutMs,
    },
  ];
};
