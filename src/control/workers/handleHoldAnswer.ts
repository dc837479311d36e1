import type { Effect } from '../Effect.js';
import { applyListing } from './applyListing.js';
import type { AnswerHandler } from './AnswerHandler.js';
import type { Worker } from './Worker.js';

// Pauses between looks that fail: short, because what runs behind a cut ends with its lease.
const firstRetryMs = 100;
const longestRetryMs = 300;
// Pause while ends wait to be written down, so that the same ends are not read again and again.
const writePauseMs = 40;

const noteSilence = (worker: Worker, reason: string, at: number): Effect[] => {
  worker.failures += 1;
  worker.nextHoldAt = at + Math.min(longestRetryMs, firstRetryMs * 2 ** (worker.failures - 1));
  const count: Effect = { type: 'count', name: 'worker_look_failures', reason };
  if (worker.failures !== 1) return [count];
  const fields = {
    worker: worker.id,
    reason,
    tasks: worker.tasks.size,
    heardMs: Math.round(at - worker.lastListedAt),
  };
  return [count, { type: 'log', level: 'warn', code: 'worker_silent', fields }];
};

/** Takes over the answer to a look. */
export const handleHoldAnswer: AnswerHandler = (state, term, worker, event) => {
  const sentAt = worker.holdSentAt ?? event.sentAt;
  worker.holdSentAt = null;
  const { answer } = event;
  if (answer.type !== 'listing') {
    const reason = answer.type === 'refused' ? answer.reason : answer.type;
    return noteSilence(worker, reason, event.at);
  }
  const regained = worker.failures > 0;
  const lastSeen = event.call.type === 'hold' ? event.call.lastSeen : 0;
  const asked = { sentAt, lastSeen };
  const effects = applyListing(term, worker, answer, asked, state.bounds.maxLeaseMs, event);
  worker.nextHoldAt = event.at + (worker.lastEnd > worker.lastSeen ? writePauseMs : 0);
  if (!regained) return effects;
  const fields = { worker: worker.id, tasks: worker.tasks.size };
  return [{ type: 'log', level: 'info', code: 'worker_regained', fields }, ...effects];
};
