import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from '@jest/globals';
import { createLineWriter } from '../../../src/adapters/logger/createLineWriter.js';

const writeLines = async (lines: readonly string[]): Promise<string> => {
  const folder = mkdtempSync(join(tmpdir(), 'lines-'));
  const path = join(folder, 'out');
  const fd = openSync(path, 'w');
  const writer = createLineWriter(fd);
  lines.forEach((line) => writer.write(line));
  await new Promise<void>((resolve) => {
    writer.flush(resolve);
  });
  closeSync(fd);
  const text = readFileSync(path, 'utf8');
  rmSync(folder, { recursive: true });
  return text;
};

// Guards against lines that are lost or out of order when the process ends.
test('lines are written completely and in order', async () => {
  expect(await writeLines(['a\n', 'b\n', 'c\n'])).toBe('a\nb\nc\n');
});

// Guards against a slow reader of the log that blocks the daemon or makes its memory grow: lines
// beyond about 1 MB of unwritten text are dropped.
test('lines beyond the limit are dropped and counted', async () => {
  const line = `${'x'.repeat(99_999)}\n`;
  const text = await writeLines(Array<string>(15).fill(line));
  expect(text.length).toBeLessThan(1_100_000);
  expect(text).toContain('"code":"log_lines_dropped","count":5');
});
