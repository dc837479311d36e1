import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isLeadConfirmed } from '../lead/isLeadConfirmed.js';
import { maxConfirmationGapMs } from '../lead/maxConfirmationGapMs.js';
import type { Term } from '../lead/Term.js';
import { computeFencingToken } from './computeFencingToken.js';
import { estimateClock } from './estimateClock.js';
import { isIdle } from './isIdle.js';
import type { Worker } from './Worker.js';

type LeaseKind = 'staying' | 'draining';

interface PollTiming {
  /** Tasks of a worker that crashed or left wait as long before they are requeued. */
  leaseMs: number;
  /** A poll is answered as soon as a run ends; the wait limits how often a worker without ends is polled. */
  waitMs: number;
}

/** Both leases outlast a failover; the one of workers that stay outlasts most network partitions, too. */
const pollTimings: Record<LeaseKind, PollTiming> = {
  staying: { leaseMs: 10_000, waitMs: 1500 },
  draining: { leaseMs: 3000, waitMs: 500 },
};
const responseTimeoutMs = 700;
const maxSilenceMs = 1500;

/**
 * Returns the number of the run ends to acknowledge, or 0. It is sent once, and only right after a
 * listing: a new incarnation of the worker numbers its ends from 1 again and would drop its own.
 */
const chooseAcknowledgedEnd = (worker: Worker): number =>
  worker.ackDue && worker.failedPolls === 0 ? worker.lastPersistedEnd : 0;

/** While the store gives no answers, leases can't be renewed for long, so a draining worker gets a long one, too. */
const chooseLeaseKind = (term: Term, worker: Worker, now: Now): LeaseKind =>
  worker.draining && now.at - term.confirmedAt <= maxConfirmationGapMs ? 'draining' : 'staying';

/** Polls a worker for its running and ended runs, and renews its lease. */
export const sendPoll = (state: State, term: Term, worker: Worker, now: Now): Effect[] => {
  const clock = estimateClock(worker, now);
  // The lease of a silent worker is not renewed, so that it expires at a known time. An idle worker needs
  // none: the start of a run brings its own. A leader that may have a successor grants none.
  const renewsLease =
    clock !== null && worker.failedPolls === 0 && !isIdle(worker) && isLeadConfirmed(term, now);
  const timing = pollTimings[chooseLeaseKind(term, worker, now)];
  const expiresAt = renewsLease ? clock + Math.min(timing.leaseMs, state.bounds.maxLeaseMs) : null;
  if (expiresAt !== null) worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, expiresAt);
  worker.pollSentAt = now.at;
  const acknowledgedEnd = chooseAcknowledgedEnd(worker);
  // Without a renewal, the poll is to show the worker's clock or that a partition has healed. Ends that
  // are not persisted yet are listed again at once anyway. An acknowledgement in a poll that waits could
  // reach a new incarnation that has ended as many runs by then. A worker that was idle was last listed long
  // ago: until it is listed again, it gets no further task, and a crash goes unnoticed.
  const answersAtOnce =
    !renewsLease ||
    worker.lastAppliedEnd > worker.lastPersistedEnd ||
    acknowledgedEnd > 0 ||
    now.at - worker.lastListedAt > maxSilenceMs;
  const waitMs = answersAtOnce ? 0 : timing.waitMs;
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
