import { Logger as TslogLogger } from 'tslog';
import { formatLogLine } from './formatLogLine.js';
import type { Logger } from './Logger.js';
import type { LogLevel } from './LogLevel.js';
import type { LogSource } from './LogSource.js';
import type { LogStreams } from './LogStreams.js';

interface LogRecord {
  level: LogLevel;
  code: string;
  fields: Record<string, unknown>;
}

const levelNames = { debug: 'DEBUG', info: 'INFO', warn: 'WARN', error: 'ERROR' } as const;

const streamNames = { debug: 'stdout', info: 'stdout', warn: 'stderr', error: 'stderr' } as const;

/** Creates the logger of a daemon: JSON lines, warnings and errors on stderr, the rest on stdout. */
export const createLogger = (
  source: LogSource,
  level: LogLevel,
  streams: LogStreams = process,
): Logger => {
  const tslog = new TslogLogger<LogRecord>({
    type: 'hidden',
    minLevel: levelNames[level],
    // The call site is always this adapter; capturing it would cost a stack trace per line.
    stack: { capture: 'off' },
    attachedTransports: [
      {
        format: (record) => formatLogLine(source, { ...record, time: new Date() }),
        write: (record, line) => {
          streams[streamNames[record.level]].write(`${line}\n`);
        },
      },
    ],
  });
  const write: Logger['write'] = (recordLevel, code, fields = {}) => {
    tslog[recordLevel]({ level: recordLevel, code, fields });
  };
  return { write, runners: { log: (effect) => write(effect.level, effect.code, effect.fields) } };
};
