import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';

/** Records that are written together or in this order, one append after the other. */
export interface AppendUnit {
  /** Job whose progress it is, or null. */
  jobId: string | null;
  records: (JournalRecord | RunsRecord)[];
}
