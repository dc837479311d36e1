import type { ProgressHead } from '../jobs/ProgressHead.js';
import type { Step } from '../jobs/Step.js';
import type { Submission } from '../jobs/Submission.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { TaskProgress } from '../jobs/TaskProgress.js';
import { measureLengthBytes } from './measureLengthBytes.js';
import { measureNumberBytes } from './measureNumberBytes.js';
import { measureTaskBytes } from './measureTaskBytes.js';
import { measureTextBytes } from './measureTextBytes.js';

/** A record of the journal or the runs. */
type OwnRecord = JournalRecord | RunsRecord;

// Length of the key, its prefix with a separator, and the fields of fixed size, such as names of fields and times.
const frameBytes = 60;
const usageFieldsBytes = 150;
const submissionFieldsBytes = 800;
const stepFieldsBytes = 220;
const estimateBytes = 20;

const sumBytes = <T>(items: readonly T[], measure: (item: T) => number): number =>
  items.reduce((sum, item) => sum + measure(item), measureLengthBytes(items.length));

const measureTasksBytes = (tasks: readonly TaskProgress[]): number =>
  sumBytes(tasks, measureTaskBytes);

const measureHeadBytes = ({ nextOccurrence, openOccurrences }: ProgressHead): number =>
  measureNumberBytes(nextOccurrence) + sumBytes(openOccurrences, measureNumberBytes);

const measureStepBytes = ({ after, requiredLabel, dataRack }: Step): number =>
  stepFieldsBytes +
  sumBytes(after, measureNumberBytes) +
  measureTextBytes(requiredLabel) +
  measureTextBytes(dataRack);

const measureSubmissionBytes = (submission: Submission): number => {
  const { id, queue, service, workspace, definition } = submission;
  const texts = [id, id, queue, service, workspace, definition.spec];
  return (
    submissionFieldsBytes +
    sumBytes(texts, measureTextBytes) +
    sumBytes(definition.steps, measureStepBytes)
  );
};

const measures: {
  [T in OwnRecord['type']]: (record: Extract<OwnRecord, { type: T }>) => number;
} = {
  submission: ({ submission }) => measureSubmissionBytes(submission),
  cancellation: ({ id }) => measureTextBytes(id),
  status: ({ id }) => measureTextBytes(id),
  lead: ({ vmId }) => measureTextBytes(vmId),
  dropped: ({ id }) => measureTextBytes(id),
  progress: ({ id, progress }) =>
    measureTextBytes(id) + measureHeadBytes(progress) + measureTasksBytes(progress.tasks),
  progressHead: ({ id, head }) => measureTextBytes(id) + measureHeadBytes(head),
  progressPart: ({ id, tasks }) => measureTextBytes(id) + measureTasksBytes(tasks),
  speeds: ({ speeds }) =>
    sumBytes(speeds, ({ workerId }) => measureTextBytes(workerId) + estimateBytes),
  // The name of the workspace stands in the key and in the value.
  usage: ({ total }) => 2 * measureTextBytes(total.workspace) + usageFieldsBytes,
};

/** Computes the most bytes that a record takes in the store, with its key. */
export const measureRecordBytes = (record: OwnRecord): number => {
  // The table's type relates each measure to its record type; an indexed access loses that relation.
  const measure = measures[record.type] as (measured: OwnRecord) => number;
  return frameBytes + measure(record);
};
