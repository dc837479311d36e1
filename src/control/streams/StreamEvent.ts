import type { AppendFailure } from './AppendFailure.js';
import type { ReadFailure } from './ReadFailure.js';
import type { StreamName } from './StreamName.js';
import type { StreamRecord } from './StreamRecord.js';

/** An answer of the store, or the failure of a call to it. */
export type StreamEvent =
  | {
      type: 'streamRead';
      stream: StreamName;
      readId: number;
      records: StreamRecord[];
      /** Offset of the next read. */
      nextOffset: number;
      endOffset: number;
    }
  | {
      type: 'pageRead';
      stream: StreamName;
      readId: number;
      records: StreamRecord[];
      /** Key after which the next page begins, or null after the last page. */
      afterKey: string | null;
      endOffset: number;
    }
  | { type: 'readFailed'; stream: StreamName; readId: number; reason: ReadFailure }
  | { type: 'appended'; appendId: number; offset: number; endOffset: number }
  | { type: 'appendFailed'; appendId: number; reason: AppendFailure; endOffset: number };
