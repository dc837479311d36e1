import type { ClaimRecord } from '../journal/ClaimRecord.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { AppendCondition } from './AppendCondition.js';
import type { StreamName } from './StreamName.js';

/** Calls to the store. */
export type StreamEffect =
  | {
      type: 'readStream';
      stream: StreamName;
      readId: number;
      fromOffset: number;
      waitMs: number;
      timeoutMs: number;
    }
  | {
      type: 'readPage';
      stream: StreamName;
      readId: number;
      afterKey: string | null;
      timeoutMs: number;
    }
  | {
      type: 'append';
      appendId: number;
      stream: 'journal' | 'runs' | 'claims';
      records: (JournalRecord | RunsRecord | ClaimRecord)[];
      condition: AppendCondition;
      timeoutMs: number;
    };
