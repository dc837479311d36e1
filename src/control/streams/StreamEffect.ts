import type { ClaimRecord } from '../journal/ClaimRecord.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { AppendCondition } from './AppendCondition.js';
import type { StreamName } from './StreamName.js';

/** A call to the store. */
export type StreamEffect =
  | {
      type: 'readStream';
      stream: StreamName;
      readId: number;
      fromOffset: number;
      /** How long the store waits for a record if there is none at the offset. */
      waitMs: number;
      timeoutMs: number;
    }
  | {
      type: 'readPage';
      stream: StreamName;
      readId: number;
      /** Key after which the page begins, or null for the first page. */
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
