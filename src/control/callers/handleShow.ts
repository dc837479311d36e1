import { answerCaller } from './answerCaller.js';
import { computeJobState } from './computeJobState.js';
import type { OperationHandler } from './OperationHandler.js';
import { refuseUnknownJob } from './refuseUnknownJob.js';

/** Shows the state of a job as the journal tells it. */
export const handleShow: OperationHandler = (state, request, target, now) => {
  const job = state.jobs.get(target.id);
  if (!job?.submission) return refuseUnknownJob(state, request, now);
  const answer = { type: 'state', state: computeJobState(job) } as const;
  return answerCaller(state, request.requestId, answer);
};
