import type { Effect } from '../Effect.js';
import { applySafely } from '../journal/applySafely.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { sendNextRead } from '../streams/sendNextRead.js';
import { answerCaller } from './answerCaller.js';
import type { CallerAppend } from './CallerAppend.js';
import { describeRecord } from './describeRecord.js';
import { removeCallerAppend } from './removeCallerAppend.js';

const answerAppended = (
  state: State,
  { record, jobId }: CallerAppend,
  requestId: number,
  offset: number,
  now: Now,
): Effect[] => {
  const request = state.callers.openRequests.get(requestId);
  if (!request) return [];
  if (record.type === 'submission' || state.jobs.get(jobId)?.submission) {
    return answerCaller(state, requestId, { type: 'accepted' });
  }
  // Whether the job exists is known once the journal is read up to its cancellation.
  request.cancellationOffset = offset;
  state.streams.journal.nextReadAt = now.at;
  return sendNextRead(state, 'journal', now);
};

/** Applies a record that is now stored in the journal and answers the requests that wait for it, unless its job is unknown. */
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
    ...applySafely(state, 'journal', { ...append.record, offset }, now),
    ...append.requestIds.flatMap((requestId) =>
      answerAppended(state, append, requestId, offset, now),
    ),
  ];
};
