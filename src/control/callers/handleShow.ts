import { answerCaller } from './answerCaller.js';
import { computeJobState } from './computeJobState.js';
import type { OperationHandler } from './OperationHandler.js';
import { refuseUnknownJob } from './refuseUnknownJob.js';

/** Answers with the state of a job as read from the journal. */
export const handleShow: OperationHandler = (state, request, target, now) => {
  const job = state.jobs.get(target.id);
  if (!job?.submission) return refuseUnknownJob(state, request, now);
  const answer = { type: 'state', state: computeJobState(job) } as const;
  return answerCaller(state, request.requestId, answer);
};
