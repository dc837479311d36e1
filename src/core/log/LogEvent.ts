import type { LogRecord } from './LogRecord.js';
import type { LogStream } from './LogStream.js';

/** Answers of the platform's log. */
export type LogEvent =
  | {
      type: 'logRead';
      readId: string;
      stream: LogStream;
      records: LogRecord[];
      /** Offset to read from next. */
      nextOffset: number;
      /** Oldest offset that is still kept. */
      oldestOffset: number;
    }
  | { type: 'logReadFailed'; readId: string; stream: LogStream; error: string }
  | { type: 'logAppended'; appendId: string; stream: LogStream; firstOffset: number }
  | {
      type: 'logAppendFailed';
      appendId: string;
      stream: LogStream;
      /** Whether the append may have taken effect all the same. */
      outcome: 'notSent' | 'unknown';
      error: string;
    };
