import type { StoredRecord } from './StoredRecord.js';

/** Records on their way to one log stream; at most one append is in flight. */
export interface AppendQueue {
  waiting: { batchId: string; record: StoredRecord }[];
  inFlight: { appendId: string; sentAt: number; entries: AppendQueue['waiting'] } | null;
  nextAppendAt: number;
  /** Pause after the next failure, in milliseconds; 0 after a success. */
  backoffMs: number;
}
