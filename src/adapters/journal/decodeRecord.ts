import { unpack } from 'msgpackr';
import type { z } from 'zod';
import type { ClaimRecord } from '../../control/journal/ClaimRecord.js';
import type { JournalRecord } from '../../control/journal/JournalRecord.js';
import type { RunsRecord } from '../../control/journal/RunsRecord.js';
import type { TaskProgress } from '../../control/jobs/TaskProgress.js';
import type { EncodedRecord } from './EncodedRecord.js';
import { journalKeyPrefixes } from './journalKeyPrefixes.js';
import { recordSchemas } from './recordSchemas.js';

type DroppableType = Extract<JournalRecord, { type: 'dropped' }>['recordType'];
type DecodedRecord = JournalRecord | RunsRecord | ClaimRecord;

type Decoder = (value: unknown, id: string) => DecodedRecord;

type TaskRow = z.infer<typeof recordSchemas.progressPart>[number];

const decodeTask = ([
  occurrence,
  step,
  index,
  state,
  run,
  failures,
  workerId,
  checkpoint,
  startedAt,
]: TaskRow): TaskProgress => ({
  occurrence,
  step,
  index,
  state,
  run,
  failures,
  workerId,
  checkpoint,
  startedAt,
});

const decodeProgress: Decoder = (value, id) => {
  const [state, endedAt, rows, ...occurrences] = recordSchemas.progress.parse(value);
  const tasks = rows.map(decodeTask);
  const startedOccurrences = Math.max(0, ...rows.map(([occurrence]) => occurrence + 1));
  const [
    nextOccurrence = startedOccurrences,
    openOccurrences = Array.from({ length: nextOccurrence }, (_, number) => number),
  ] = occurrences;
  return {
    type: 'progress',
    id,
    progress: { state, endedAt, nextOccurrence, openOccurrences, tasks },
  };
};

const decoders = new Map<string, Decoder>([
  [
    journalKeyPrefixes.submission,
    (value) => ({ type: 'submission', submission: recordSchemas.submission.parse(value) }),
  ],
  [
    journalKeyPrefixes.cancellation,
    (value, id) => ({ type: 'cancellation', id, at: recordSchemas.cancellation.parse(value).at }),
  ],
  [
    journalKeyPrefixes.status,
    (value, id) => {
      const [state, endedAt] = recordSchemas.status.parse(value);
      return { type: 'status', id, state, endedAt };
    },
  ],
  [journalKeyPrefixes.progress, decodeProgress],
  [
    journalKeyPrefixes.progressHead,
    (value, id) => {
      const [nextOccurrence, openOccurrences] = recordSchemas.progressHead.parse(value);
      return { type: 'progressHead', id, head: { nextOccurrence, openOccurrences } };
    },
  ],
  [
    journalKeyPrefixes.progressPart,
    (value, partId) => {
      const [id = '', part] = partId.split('/');
      const tasks = recordSchemas.progressPart.parse(value).map(decodeTask);
      return { type: 'progressPart', id, part: Number(part), tasks };
    },
  ],
  [
    journalKeyPrefixes.speeds,
    (value, part) => ({
      type: 'speeds',
      part: Number(part),
      speeds: recordSchemas.speeds
        .parse(value)
        .map(([workerId, mean, variance]) => ({ workerId, logSlowdown: { mean, variance } })),
    }),
  ],
  [
    journalKeyPrefixes.usage,
    (value) => ({ type: 'usage', total: recordSchemas.usage.parse(value) }),
  ],
  [journalKeyPrefixes.lead, (value) => ({ type: 'lead', ...recordSchemas.lead.parse(value) })],
]);

const droppableTypeByPrefix = new Map<string, DroppableType>([
  [journalKeyPrefixes.submission, 'submission'],
  [journalKeyPrefixes.cancellation, 'cancellation'],
  [journalKeyPrefixes.status, 'status'],
  [journalKeyPrefixes.usage, 'usage'],
  [journalKeyPrefixes.progress, 'progress'],
  [journalKeyPrefixes.progressHead, 'progressHead'],
  [journalKeyPrefixes.progressPart, 'progressPart'],
]);

/** Decodes a record of one of the system's own streams; null if it is unreadable. */
export const decodeRecord = (
  { key, value }: EncodedRecord,
  stream: 'journal' | 'runs' | 'claims',
): DecodedRecord | null => {
  const [prefix = '', ...rest] = key.split('/');
  const id = rest.join('/');
  try {
    if (stream === 'claims') return { type: 'claim', ...recordSchemas.claim.parse(unpack(value)) };
    if (value.length === 0) {
      const recordType = droppableTypeByPrefix.get(prefix);
      return recordType ? { type: 'dropped', recordType, id } : null;
    }
    return decoders.get(prefix)?.(unpack(value), id) ?? null;
  } catch {
    // Not a record of this system; the reducer counts and logs it as unreadable.
    return null;
  }
};
