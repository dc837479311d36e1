import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';
import type { CallerRefusal } from './CallerRefusal.js';
import { removeCallerAppend } from './removeCallerAppend.js';
import { refuseCaller } from './refuseCaller.js';

/** Aborts an append and refuses the requests that wait for it. */
export const abortCallerAppend = (
  state: State,
  append: CallerAppend,
  reason: CallerRefusal,
  now: Now,
): Effect[] => {
  removeCallerAppend(state, append);
  const operation = append.record.type === 'submission' ? 'submit' : 'cancel';
  return append.requestIds
    .filter((requestId) => state.callers.openRequests.has(requestId))
    .flatMap((requestId) =>
      refuseCaller(state, { requestId, operation, path: append.jobId }, reason, now.at),
    );
};
