import { expect, test } from '@jest/globals';
import { createLogger } from '../../../src/adapters/logger/createLogger.js';
import type { LogLevel } from '../../../src/adapters/logger/LogLevel.js';

const self = { vmId: 'vm-1', zone: 'zone-a', role: 'scheduler', incarnation: 'i1' } as const;

const collectLines = (level: LogLevel) => {
  const stdoutLines: string[] = [];
  const stderrLines: string[] = [];
  const streams = {
    stdout: { write: (line: string) => stdoutLines.push(line) },
    stderr: { write: (line: string) => stderrLines.push(line) },
  };
  return { logger: createLogger(self, level, streams), stdoutLines, stderrLines };
};

// Guards against a field of an event that replaces the code or the VM of its line.
test('line keeps its own keys and one format', () => {
  const { logger, stderrLines } = collectLines('info');
  const fields = { vmId: 'other', code: 'other', requestId: 'r1', workerId: 'w1' };
  logger.runners.log({ type: 'log', level: 'warn', code: 'claim-lost', fields });
  expect(stderrLines[0]).toMatch(
    /^\{"time":"\d{4}-[^"]+","level":"warn","code":"claim-lost",.*\}\n$/,
  );
  const { time, ...line } = JSON.parse(stderrLines[0] ?? '') as Record<string, unknown>;
  expect(typeof time).toBe('string');
  expect(line).toEqual({
    ...{ level: 'warn', code: 'claim-lost', vmId: 'vm-1', zone: 'zone-a', role: 'scheduler' },
    ...{ requestId: 'r1', workerId: 'w1' },
  });
});

// Guards against debug lines in normal operation and warnings on the wrong stream.
test('level filters lines and selects the stream', () => {
  const { logger, stdoutLines, stderrLines } = collectLines('info');
  logger.write('debug', 'a');
  logger.write('info', 'b');
  logger.write('error', 'c');
  expect([stdoutLines.length, stderrLines.length]).toEqual([1, 1]);
});

// Guards against an error value that becomes an empty object in the log.
test('error value keeps its message', () => {
  const { logger, stdoutLines } = collectLines('info');
  logger.write('info', 'a', { error: new Error('connection refused') });
  expect(stdoutLines[0]).toContain('connection refused');
});
