import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isLeadConfirmed } from '../lead/isLeadConfirmed.js';
import type { Term } from '../lead/Term.js';
import { computeFencingToken } from './computeFencingToken.js';
import { estimateClock } from './estimateClock.js';
import { isIdle } from './isIdle.js';
import type { Worker } from './Worker.js';

// Outlasts a failover and most network partitions; tasks of a worker that crashed for good wait as long
// before they are requeued.
const targetLeaseMs = 10_000;
// A poll is answered as soon as a run ends; the wait limits how often a worker without ends is polled.
const pollWaitMs = 1500;
const responseTimeoutMs = 700;

/**
 * Returns the number of the run ends to acknowledge, or 0. It is sent once, and only right after a
 * listing: a new incarnation of the worker numbers its ends from 1 again and would drop its own.
 */
const chooseAcknowledgedEnd = (worker: Worker): number =>
  worker.ackDue && worker.failedPolls === 0 ? worker.lastPersistedEnd : 0;

/** Polls a worker for its running and ended runs, and renews its lease. */
export const sendPoll = (state: State, term: Term, worker: Worker, now: Now): Effect[] => {
  const clock = estimateClock(worker, now);
  // The lease of a silent worker is not renewed, so that it expires at a known time. An idle worker needs
  // none: the start of a run brings its own. A leader that may have a successor grants none.
  const renewsLease =
    clock !== null && worker.failedPolls === 0 && !isIdle(worker) && isLeadConfirmed(term, now);
  const leaseMs = Math.min(targetLeaseMs, state.bounds.maxLeaseMs);
  const expiresAt = renewsLease ? clock + leaseMs : null;
  if (expiresAt !== null) worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, expiresAt);
  worker.pollSentAt = now.at;
  const acknowledgedEnd = chooseAcknowledgedEnd(worker);
  // Without a renewal, the poll is to show the worker's clock or that a partition has healed. Ends that
  // are not persisted yet are listed again at once anyway. An acknowledgement in a poll that waits could
  // reach a new incarnation that has ended as many runs by then. A worker that was idle was last listed
  // too long ago to tell a leaving worker from a partitioned one.
  const answersAtOnce =
    !renewsLease ||
    worker.lastAppliedEnd > worker.lastPersistedEnd ||
    acknowledgedEnd > 0 ||
    now.at - worker.lastListedAt > pollWaitMs;
  const waitMs = answersAtOnce ? 0 : pollWaitMs;
  return [
    {
      type: 'callWorker',
      workerId: worker.id,
      address: worker.address,
      token: computeFencingToken(term, worker),
      call: { type: 'poll', expiresAt, acknowledgedEnd, waitMs },
      timeoutMs: waitMs + responseTimeoutMs,
    },
  ];
};
