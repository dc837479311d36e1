import type { Submission } from '../jobs/Submission.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { LogFields } from '../LogFields.js';

/** Computes the accelerators of the job's widest step with all of its tasks running at once. */
const computeWidestStepGpu = ({ definition }: Submission): number =>
  Math.max(...definition.steps.map(({ count, need }) => count * need.gpu));

/** Builds the log fields that describe a caller's record. */
export const describeRecord = (record: JournalRecord): LogFields => {
  if (record.type !== 'submission') return { record: record.type };
  const { submission } = record;
  return {
    record: record.type,
    queue: submission.queue,
    workspace: submission.workspace,
    gpu: computeWidestStepGpu(submission),
  };
};
