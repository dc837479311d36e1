import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamName } from '../streams/StreamName.js';
import type { StreamRecord } from '../streams/StreamRecord.js';
import { applyRecord } from './applyRecord.js';

/** Applies one record of a stream; one that no handler can apply must stop neither the stream nor an answer. */
export const applySafely = (
  state: State,
  stream: StreamName,
  record: StreamRecord,
  now: Now,
): Effect[] => {
  try {
    return applyRecord(state, record, now);
  } catch (error) {
    const fields = { stream, offset: record.offset, reason: String(error) };
    return [
      { type: 'count', name: 'unreadable_records', reason: 'not-applicable' },
      { type: 'log', level: 'error', code: 'record_not_applied', fields },
    ];
  }
};
