import { appendForCaller } from './appendForCaller.js';
import { answerCaller } from './answerCaller.js';
import type { OperationHandler } from './OperationHandler.js';
import { refuseCaller } from './refuseCaller.js';

/** Accepts a job; the request is answered once the submission is stored in the journal. */
export const handleSubmit: OperationHandler = (state, request, target, now) => {
  const { id, queue, workspace } = target;
  if (state.jobs.get(id)?.submission) {
    return answerCaller(state, request.requestId, { type: 'accepted' });
  }
  if (!request.definition) return refuseCaller(state, request, 'invalid-job', now.at);
  const { priority, maxAttempts, stretch, targetLatencyMs } = queue;
  const submission = {
    id,
    queue: queue.name,
    queueSettings: { priority, maxAttempts, stretch, targetLatencyMs },
    service: queue.service,
    workspace,
    acceptedAt: now.wall,
    definition: request.definition,
  };
  return appendForCaller(state, request, id, { type: 'submission', submission }, now);
};
