import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';
import type { CallerRefusal } from './CallerRefusal.js';
import { refuseCaller } from './refuseCaller.js';

/** Refuses those of the given requests for an append that are still open. */
export const refuseAppendRequests = (
  state: State,
  append: CallerAppend,
  requestIds: readonly number[],
  reason: CallerRefusal,
  now: Now,
): Effect[] => {
  const operation = append.record.type === 'submission' ? 'submit' : 'cancel';
  return requestIds
    .filter((requestId) => state.callers.openRequests.has(requestId))
    .flatMap((requestId) =>
      refuseCaller(state, { requestId, operation, path: append.jobId }, reason, now.at),
    );
};
