import { answerCaller } from './answerCaller.js';
import { appendForCaller } from './appendForCaller.js';
import { describeJournalView } from './describeJournalView.js';
import type { OperationHandler } from './OperationHandler.js';

/**
 * Cancels a job; the request is answered once the cancellation is stored in the journal. That of an unknown job is
 * stored as well: another VM may have accepted the job, or may accept a delayed submission later.
 */
export const handleCancel: OperationHandler = (state, request, target, now) => {
  const job = state.jobs.get(target.id);
  if (job && job.cancelledAt !== null) {
    const fields = { requestId: target.id, ...describeJournalView(state, now.at) };
    return [
      { type: 'log', level: 'info', code: 'cancel_repeated', fields },
      ...answerCaller(state, request.requestId, { type: 'accepted' }),
    ];
  }
  const record = { type: 'cancellation', id: target.id, at: now.wall } as const;
  return appendForCaller(state, request, target.id, record, now);
};
