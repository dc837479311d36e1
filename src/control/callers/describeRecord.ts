import type { Submission } from '../jobs/Submission.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { LogFields } from '../LogFields.js';

/** Accelerators of the widest step, if all of its tasks run at once. */
const computePeakGpu = ({ definition }: Submission): number =>
  Math.max(...definition.steps.map(({ count, need }) => count * need.gpu));

/** Describes a caller's record for the log. */
export const describeRecord = (record: JournalRecord): LogFields => {
  if (record.type !== 'submission') return { record: record.type };
  const { submission } = record;
  return {
    record: record.type,
    queue: submission.queue,
    workspace: submission.workspace,
    gpu: computePeakGpu(submission),
  };
};
