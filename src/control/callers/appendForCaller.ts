import type { Effect } from '../Effect.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { CallerRequest } from './CallerRequest.js';
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
  state.callers.open.set(requestId, { requestId, jobId, deadlineAt: now.at + request.deadlineMs });
  const key = `${record.type}/${jobId}`;
  const open = state.callers.byJob.get(key);
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
