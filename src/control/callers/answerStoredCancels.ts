import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { answerCaller } from './answerCaller.js';
import type { OpenRequest } from './OpenRequest.js';
import { refuseCaller } from './refuseCaller.js';

const hasRead = ({ streams }: State, offset: number): boolean =>
  streams.journal.phase === 'tail' && streams.journal.nextOffset > offset;

const answerCancel = (state: State, request: OpenRequest, now: Now): Effect[] => {
  const { requestId, jobId } = request;
  if (state.jobs.get(jobId)?.submission) {
    return answerCaller(state, requestId, { type: 'accepted' });
  }
  const refusedRequest = { requestId, operation: 'cancel', path: jobId } as const;
  return refuseCaller(state, refusedRequest, 'no-such-job', now.at);
};

/**
 * Answers the cancels whose stored cancellation was read back in the journal, where all earlier submissions are
 * known. One that can't wait any longer is accepted: whatever is submitted under its ID is cancelled.
 */
export const answerStoredCancels = (
  state: State,
  canWait: (request: OpenRequest) => boolean,
  now: Now,
): Effect[] =>
  [...state.callers.openRequests.values()].flatMap((request) => {
    if (request.cancellationOffset === null) return [];
    if (hasRead(state, request.cancellationOffset)) return answerCancel(state, request, now);
    return canWait(request) ? [] : answerCaller(state, request.requestId, { type: 'accepted' });
  });
