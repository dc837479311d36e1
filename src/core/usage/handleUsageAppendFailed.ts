import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Returns the records of a failed append to the head of the queue. They are appended again even if
 * the outcome is unknown, because readers drop repeated ids. The pause doubles, so that a log that
 * refuses for its load is not loaded further.
 */
export const handleUsageAppendFailed = (
  state: State,
  event: EventOf<'logAppendFailed'>,
): Effect[] =>
  Object.values(state.usage.appendQueues).flatMap((lane) => {
    if (lane.inFlight?.appendId !== event.appendId) return [];
    lane.waiting.unshift(...lane.inFlight.entries);
    lane.inFlight = null;
    const { logRetryMs } = state.timing;
    lane.backoffMs = Math.min(Math.max(lane.backoffMs * 2, logRetryMs), 10 * logRetryMs);
    lane.nextAppendAt = event.at + lane.backoffMs;
    const reason = event.outcome === 'unknown' ? 'append-answer-lost' : 'append-failed';
    return [{ type: 'countRetry', reason }];
  });
