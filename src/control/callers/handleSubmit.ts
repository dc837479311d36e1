import { measureRecordBytes } from '../progress/measureRecordBytes.js';
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
  if (!request.definition) {
    return refuseCaller(state, request, 'invalid-job', now.at, request.definitionProblem);
  }
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
  const record = { type: 'submission', submission } as const;
  const bytes = measureRecordBytes(record);
  const { maxRecordBytes } = state.storeLimits;
  if (bytes > maxRecordBytes) {
    const detail = `the stored job would take up to ${bytes} bytes, and at most ${maxRecordBytes} are possible`;
    return refuseCaller(state, request, 'job-too-large', now.at, detail);
  }
  return appendForCaller(state, request, id, record, now);
};
