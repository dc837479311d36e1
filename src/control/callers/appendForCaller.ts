import type { Effect } from '../Effect.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isStoreUnresponsive } from '../streams/isStoreUnresponsive.js';
import type { CallerRequest } from './CallerRequest.js';
import { refuseCaller } from './refuseCaller.js';
import { sendCallerAppend } from './sendCallerAppend.js';

/** Writes a record for a caller; a request for the same record joins the append that is open. */
export const appendForCaller = (
  state: State,
  request: CallerRequest,
  jobId: string,
  record: JournalRecord,
  now: Now,
): Effect[] => {
  const { requestId } = request;
  const key = `${record.type}/${jobId}`;
  const openAppend = state.callers.appendsByKey.get(key);
  // Nothing has been sent yet, so the refusal is true; an append without an answer would not be.
  if (!openAppend && isStoreUnresponsive(state, now)) {
    return refuseCaller(state, request, 'store-silent', now.at);
  }
  state.callers.openRequests.set(requestId, {
    requestId,
    jobId,
    deadlineAt: now.at + request.timeoutMs,
  });
  if (openAppend) {
    openAppend.requests.push(requestId);
    return [];
  }
  const append = {
    appendId: 0,
    record,
    jobId,
    requests: [requestId],
    firstAt: now.at,
    retryAt: null,
    uncertain: false,
  };
  state.callers.appendsByKey.set(key, append);
  return sendCallerAppend(state, append);
};
