import type { ConfigRecord } from '../config/ConfigRecord.js';
import type { ClaimRecord } from '../journal/ClaimRecord.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { WorkerRecord } from '../workers/WorkerRecord.js';

/**
 * A decoded record. `unreadable`: its value can't be decoded, for example because another program wrote
 * it; `unrelated`: its key is not used by this system.
 */
export type StreamRecord = (
  | ConfigRecord
  | JournalRecord
  | RunsRecord
  | ClaimRecord
  | WorkerRecord
  | { type: 'unreadable'; key: string }
  | { type: 'unrelated' }
) & { offset: number };
