import type { Effect } from '../Effect.js';
import { isLeadConfirmed } from '../lead/isLeadConfirmed.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { applyListing } from './applyListing.js';
import type { AnswerHandler } from './AnswerHandler.js';
import { idlePollIntervalMs } from './idlePollIntervalMs.js';
import { isIdle } from './isIdle.js';
import type { Worker } from './Worker.js';

// Backoff after failed polls; short, because the runs of an unreachable worker end with its lease.
const initialRetryMs = 100;
const maxRetryMs = 300;
// Longest delay of the next poll while run ends are being persisted. It would list the same ends again;
// once they are persisted, it is sent at once.
const maxPersistDelayMs = 400;

// Polls that renew no lease don't wait for an end; the first one after the confirmation renews it again.
const unconfirmedDelayMs = 400;

const chooseDelayMs = (term: Term, worker: Worker, now: Now): number => {
  if (isIdle(worker)) return idlePollIntervalMs;
  if (!isLeadConfirmed(term, now)) return unconfirmedDelayMs;
  return worker.lastAppliedEnd > worker.lastPersistedEnd ? maxPersistDelayMs : 0;
};

const handlePollFailure = (worker: Worker, reason: string, at: number): Effect[] => {
  worker.failedPolls += 1;
  worker.nextPollAt = at + Math.min(maxRetryMs, initialRetryMs * 2 ** (worker.failedPolls - 1));
  const count: Effect = { type: 'count', name: 'worker_look_failures', reason };
  if (worker.failedPolls !== 1) return [count];
  const fields = {
    worker: worker.id,
    reason,
    tasks: worker.tasks.size,
    heardMs: Math.round(at - worker.lastListedAt),
  };
  return [count, { type: 'log', level: 'warn', code: 'worker_silent', fields }];
};

/** Handles the answer to a poll. */
export const handlePollAnswer: AnswerHandler = (state, term, worker, event) => {
  const sentAt = worker.pollSentAt ?? event.sentAt;
  worker.pollSentAt = null;
  const { answer } = event;
  if (answer.type !== 'listing') {
    const reason = answer.type === 'refused' ? answer.reason : answer.type;
    return handlePollFailure(worker, reason, event.at);
  }
  const wasSilent = worker.failedPolls > 0;
  const acknowledgedEnd = event.call.type === 'poll' ? event.call.acknowledgedEnd : 0;
  const poll = { sentAt, acknowledgedEnd };
  const effects = applyListing(term, worker, answer, poll, state.bounds.maxLeaseMs, event);
  worker.nextPollAt = event.at + chooseDelayMs(term, worker, event);
  if (!wasSilent) return effects;
  const fields = { worker: worker.id, tasks: worker.tasks.size };
  return [{ type: 'log', level: 'info', code: 'worker_regained', fields }, ...effects];
};
