import type { LogRecord } from '../../../src/core/log/LogRecord.js';
import type { LogStream } from '../../../src/core/log/LogStream.js';

/** The platform's log. */
export interface FakeLog {
  streams: Map<LogStream, LogRecord[]>;
  /** Until when the log refuses everything. */
  outageUntil: number;
  /** Until when appends take effect but their answers are lost. */
  lostAnswersUntil: number;
}
