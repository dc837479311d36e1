import type { Effect } from '../Effect.js';
import { applyRecord } from '../journal/applyRecord.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { answerCaller } from './answerCaller.js';
import type { CallerAppend } from './CallerAppend.js';
import { describeRecord } from './describeRecord.js';
import { removeCallerAppend } from './removeCallerAppend.js';

/** Applies a record that is now stored in the journal and answers the requests that wait for it. */
export const handleCallerAppendSuccess = (
  state: State,
  append: CallerAppend,
  offset: number,
  now: Now,
): Effect[] => {
  removeCallerAppend(state, append);
  const fields = {
    requestId: append.jobId,
    ...describeRecord(append.record),
    offset,
    tookMs: Math.round(now.at - append.firstAttemptAt),
  };
  return [
    { type: 'observe', name: 'caller_append_ms', ms: now.at - append.firstAttemptAt },
    { type: 'log', level: 'info', code: 'request_recorded', fields },
    ...applyRecord(state, { ...append.record, offset }, now),
    ...append.requestIds.flatMap((requestId) =>
      state.callers.openRequests.has(requestId)
        ? answerCaller(state, requestId, { type: 'accepted' })
        : [],
    ),
  ];
};
