import { isFollowing } from '../streams/isFollowing.js';
import { answerCaller } from './answerCaller.js';
import { computeJobState } from './computeJobState.js';
import type { OperationHandler } from './OperationHandler.js';
import { refuseCaller } from './refuseCaller.js';

/** Shows the state of a job as the journal tells it. */
export const handleShow: OperationHandler = (state, request, target, now) => {
  const job = state.jobs.get(target.id);
  if (job?.submission) {
    const answer = { type: 'state', state: computeJobState(job) } as const;
    return answerCaller(state, request.requestId, answer);
  }
  const reason = isFollowing(state, 'journal', now) ? 'no-such-job' : 'store-behind';
  return refuseCaller(state, request, reason, now.at);
};
