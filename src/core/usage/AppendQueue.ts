import type { StoredRecord } from './StoredRecord.js';

/** Queue of records for one log stream; at most one append is in flight. */
export interface AppendQueue {
  waiting: { batchId: string; record: StoredRecord }[];
  /** The append in flight, sent at a monotonic time; null if none is. */
  inFlight: { appendId: string; sentAt: number; entries: AppendQueue['waiting'] } | null;
  /** Monotonic time before which nothing is appended. */
  nextAppendAt: number;
  /** Pause after the newest failure, in milliseconds; 0 after a success. */
  backoffMs: number;
}
