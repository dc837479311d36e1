import type { LogRecord } from '../../../src/core/log/LogRecord.js';
import type { LogStream } from '../../../src/core/log/LogStream.js';

/** Fake of the platform's log; times are simulation times. */
export interface FakeLog {
  streams: Map<LogStream, LogRecord[]>;
  /** Time until which the log is unavailable. */
  outageUntil: number;
  /** Time until which appends take effect but their answers are lost. */
  lostAnswersUntil: number;
}
