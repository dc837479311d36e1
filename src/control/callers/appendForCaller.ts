import type { Effect } from '../Effect.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isStoreSilent } from '../streams/isStoreSilent.js';
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
  const open = state.callers.byJob.get(key);
  // Nothing has been sent yet, so the refusal is true; an append without an answer would not be.
  if (!open && isStoreSilent(state, now)) {
    return refuseCaller(state, request, 'store-silent', now.at);
  }
  state.callers.open.set(requestId, { requestId, jobId, deadlineAt: now.at + request.deadlineMs });
  if (open) {
    open.requests.push(requestId);
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
  state.callers.byJob.set(key, append);
  return sendCallerAppend(state, append);
};
