import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Returns the records of a failed append to the front of the queue. They are appended again even if
 * the outcome is unknown, because readers drop repeated ids. The pause doubles up to a limit
 * of ten times `logRetryMs`, so that retries do not add load to an overloaded log.
 */
export const handleUsageAppendFailed = (
  state: State,
  event: EventOf<'logAppendFailed'>,
): Effect[] =>
  Object.values(state.usage.appendQueues).flatMap((queue) => {
    if (queue.inFlight?.appendId !== event.appendId) return [];
    queue.waiting.unshift(...queue.inFlight.entries);
    queue.inFlight = null;
    const { logRetryMs } = state.timing;
    queue.backoffMs = Math.min(Math.max(queue.backoffMs * 2, logRetryMs), 10 * logRetryMs);
    queue.nextAppendAt = event.at + queue.backoffMs;
    const reason = event.outcome === 'unknown' ? 'append-answer-lost' : 'append-failed';
    return [{ type: 'countRetry', reason }];
  });
