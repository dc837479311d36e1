import type { LogRecord } from './LogRecord.js';
import type { StreamState } from './StreamState.js';

/** Builds the answer to a read; an offset out of range is replaced by the nearest valid one. */
export const readRecords = (
  stream: StreamState,
  from: number,
  limit: number,
): { records: LogRecord[]; nextOffset: number; oldestOffset: number } => {
  const oldestOffset = stream.nextOffset - stream.entries.length;
  const start = Math.min(Math.max(from, oldestOffset), stream.nextOffset);
  const records = stream.entries
    .slice(start - oldestOffset, start - oldestOffset + limit)
    .map((entry) => entry.record);
  return { records, nextOffset: start + records.length, oldestOffset };
};
