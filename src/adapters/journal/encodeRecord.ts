import { pack } from 'msgpackr';
import type { ClaimRecord } from '../../control/journal/ClaimRecord.js';
import type { JournalRecord } from '../../control/journal/JournalRecord.js';
import type { RunsRecord } from '../../control/journal/RunsRecord.js';
import type { JobProgress } from '../../control/jobs/JobProgress.js';
import type { TaskProgress } from '../../control/jobs/TaskProgress.js';
import { buildPartId } from '../../control/journal/buildPartId.js';
import { buildUsageKey } from '../../control/usage/buildUsageKey.js';
import type { EncodedRecord } from './EncodedRecord.js';
import { journalKeyPrefixes } from './journalKeyPrefixes.js';

type AnyRecord = JournalRecord | RunsRecord | ClaimRecord;

type Encoders = {
  [T in AnyRecord['type']]: (record: Extract<AnyRecord, { type: T }>) => EncodedRecord;
};

// Tasks make up most of the stored data, so they are tuples without field names.
const buildTaskRow = (task: TaskProgress): (string | number)[] => [
  task.occurrence,
  task.step,
  task.index,
  task.state,
  task.run,
  task.failures,
  task.workerId,
  task.checkpoint,
  task.startedAt,
];

/**
 * Encodes progress. The occurrences are left out while none is finished: they follow from the tasks then.
 */
const encodeProgress = (progress: JobProgress): Buffer => {
  const { state, endedAt, nextOccurrence, openOccurrences } = progress;
  const tasks = progress.tasks.map(buildTaskRow);
  return pack(
    openOccurrences.length === nextOccurrence
      ? [state, endedAt, tasks]
      : [state, endedAt, tasks, nextOccurrence, openOccurrences],
  );
};

const encoders: Encoders = {
  submission: ({ submission }) => ({
    key: `${journalKeyPrefixes.submission}/${submission.id}`,
    value: pack(submission),
  }),
  cancellation: ({ id, at }) => ({
    key: `${journalKeyPrefixes.cancellation}/${id}`,
    value: pack({ at }),
  }),
  status: ({ id, state, endedAt }) => ({
    key: `${journalKeyPrefixes.status}/${id}`,
    value: pack([state, endedAt]),
  }),
  progress: ({ id, progress }) => ({
    key: `${journalKeyPrefixes.progress}/${id}`,
    value: encodeProgress(progress),
  }),
  progressHead: ({ id, head }) => ({
    key: `${journalKeyPrefixes.progressHead}/${id}`,
    value: pack([head.nextOccurrence, head.openOccurrences]),
  }),
  progressPart: ({ id, part, tasks }) => ({
    key: `${journalKeyPrefixes.progressPart}/${buildPartId(id, part)}`,
    value: pack(tasks.map(buildTaskRow)),
  }),
  lead: ({ token, vmId, resigned }) => ({
    key: journalKeyPrefixes.lead,
    value: pack({ token, vmId, resigned }),
  }),
  speeds: ({ part, speeds }) => ({
    key: part === 0 ? journalKeyPrefixes.speeds : `${journalKeyPrefixes.speeds}/${part}`,
    value: pack(
      speeds.map(({ workerId, logSlowdown }) => [workerId, logSlowdown.mean, logSlowdown.variance]),
    ),
  }),
  usage: ({ total }) => ({
    key: `${journalKeyPrefixes.usage}/${buildUsageKey(total)}`,
    value: pack(total),
  }),
  dropped: ({ recordType, id }) => ({
    key: `${journalKeyPrefixes[recordType]}/${id}`,
    value: Buffer.alloc(0),
  }),
  claim: ({ vmId, incarnation }) => ({
    key: journalKeyPrefixes.claim,
    value: pack({ vmId, incarnation }),
  }),
};

/** Encodes a record of one of the system's own streams. */
export const encodeRecord = (record: AnyRecord): EncodedRecord => {
  // TypeScript can't infer that the encoder found by type accepts this record.
  const encode = encoders[record.type] as (input: AnyRecord) => EncodedRecord;
  return encode(record);
};
