import type { Effect } from '../Effect.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isStoreUnresponsive } from '../streams/isStoreUnresponsive.js';
import type { CallerRequest } from './CallerRequest.js';
import { refuseCaller } from './refuseCaller.js';
import { sendCallerAppend } from './sendCallerAppend.js';

/** Appends a record for a caller; a request for the same record joins the pending append. */
export const appendForCaller = (
  state: State,
  request: CallerRequest,
  jobId: string,
  record: JournalRecord,
  now: Now,
): Effect[] => {
  const { requestId } = request;
  const key = `${record.type}/${jobId}`;
  const pendingAppend = state.callers.appendsByKey.get(key);
  // Nothing has been sent yet, so the record is certainly not stored; after an unanswered append a
  // refusal could be false.
  if (!pendingAppend && isStoreUnresponsive(state, now)) {
    return refuseCaller(state, request, 'store-silent', now.at);
  }
  state.callers.openRequests.set(requestId, {
    requestId,
    jobId,
    deadlineAt: now.at + request.timeoutMs,
    cancellationOffset: null,
  });
  if (pendingAppend) {
    pendingAppend.requestIds.push(requestId);
    return [];
  }
  const append = {
    appendId: 0,
    record,
    jobId,
    requestIds: [requestId],
    firstAttemptAt: now.at,
    nextAttemptAt: null,
    hasUnknownOutcome: false,
  };
  state.callers.appendsByKey.set(key, append);
  return sendCallerAppend(state, append);
};
