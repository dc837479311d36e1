import { unpack } from 'msgpackr';
import type { ClaimRecord } from '../../control/journal/ClaimRecord.js';
import type { JournalRecord } from '../../control/journal/JournalRecord.js';
import type { RunsRecord } from '../../control/journal/RunsRecord.js';
import type { EncodedRecord } from './EncodedRecord.js';
import { journalKeyPrefixes } from './journalKeyPrefixes.js';
import { recordSchemas } from './recordSchemas.js';

type DecodedRecord = JournalRecord | RunsRecord | ClaimRecord;

type Decoder = (value: unknown, id: string) => DecodedRecord;

const decodeProgress: Decoder = (value, id) => {
  const [state, endedAt, rows, ...occurrences] = recordSchemas.progress.parse(value);
  const tasks = rows.map(
    ([occurrence, step, index, taskState, run, failures, workerId, checkpoint, startedAt]) => ({
      occurrence,
      step,
      index,
      state: taskState,
      run,
      failures,
      workerId,
      checkpoint,
      startedAt,
    }),
  );
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
    journalKeyPrefixes.speeds,
    (value) => ({
      type: 'speeds',
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

const droppableTypeByPrefix = new Map([
  [journalKeyPrefixes.submission, 'submission'],
  [journalKeyPrefixes.cancellation, 'cancellation'],
  [journalKeyPrefixes.status, 'status'],
  [journalKeyPrefixes.usage, 'usage'],
  [journalKeyPrefixes.progress, 'progress'],
] as const);

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
      const recordType = droppableTypeByPrefix.get(prefix as 's' | 'c' | 't' | 'p' | 'u');
      return recordType ? { type: 'dropped', recordType, id } : null;
    }
    return decoders.get(prefix)?.(unpack(value), id) ?? null;
  } catch {
    // Not a record of this system; the reducer counts and logs it as unreadable.
    return null;
  }
};
