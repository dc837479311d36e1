import type { LogRecord } from './LogRecord.js';
import type { LogStream } from './LogStream.js';

/** Results of reads and appends on the platform's log service. */
export type LogEvent =
  | {
      type: 'logRead';
      readId: string;
      stream: LogStream;
      records: LogRecord[];
      /** Offset to read from next. */
      nextOffset: number;
      /** Oldest offset that the log still keeps. */
      oldestOffset: number;
    }
  | { type: 'logReadFailed'; readId: string; stream: LogStream; error: string }
  | { type: 'logAppended'; appendId: string; stream: LogStream; firstOffset: number }
  | {
      type: 'logAppendFailed';
      appendId: string;
      stream: LogStream;
      /** `unknown`: the append may have taken effect nevertheless. */
      outcome: 'notSent' | 'unknown';
      error: string;
    };
