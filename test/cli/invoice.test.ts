import { expect, test } from '@jest/globals';
import { callCli } from '../support/callCli.js';
import { serveApi } from '../support/serveApi.js';

const hourMs = 3_600_000;
const task = { jobId: 'j1', taskId: 'j1.1.0', accelerators: 2 };
const run = { ...task, kind: 'run', fromWall: 0, toWall: hourMs, acceleratorMs: 2 * hourMs };
const correction = { ...task, kind: 'correction', id: 'c1', wall: 5, acceleratorMs: -hourMs };
const invoice = {
  ...{ workspace: 'labels', fromWall: 0, toWall: 2 * hourMs, acceleratorMs: hourMs },
  jobs: [{ jobId: 'j1', acceleratorMs: hourMs, lines: [run, correction] }],
  requests: { answered: 9, failed: 1, unknown: 2, busyMs: hourMs },
  unknown: [{ ...task, id: 'u1', fromWall: hourMs, toWall: hourMs + 8000, settledBy: null }],
  unknownRequests: [{ gateway: 'vm-1/gateway', fromWall: 0, toWall: 6000 }],
  openTasks: [{ ...task, taskId: 'j1.2.0', startedWall: hourMs }],
  tasksWithoutStart: [],
  repeatedRecords: 0,
  oldestOffset: 40,
};

const callReport = async (...words: string[]) => {
  const api = await serveApi(() => ({ ok: true, data: invoice }));
  const period = ['--from', '1970-01-01', '--to', '1970-01-01T02:00:00Z'];
  const result = await callCli(api.url, ...words, ...period);
  await api.close();
  return { ...result, commands: api.commands };
};

// Guards against an invoice whose sum cannot be checked, because a line is missing.
test('invoice lists every line and the sum', async () => {
  const { code, out, commands } = await callReport('invoice', 'labels');
  expect(code).toBe(0);
  expect(commands).toEqual([
    { kind: 'reportUsage', workspace: 'labels', fromWall: 0, toWall: 2 * hourMs },
  ]);
  expect(out).toMatch(/j1 +j1\.1\.0 +run +2 +1970-01-01T00:00:00\.000Z .* 2\.000000\n/);
  expect(out).toMatch(/j1 +j1\.1\.0 +correction +2 .* -1\.000000\n/);
  expect(out).toContain('Sum: 1.000000 accelerator hours');
});

// Guards against unknown usage that an invoice or a usage report silently omits.
test.each(['invoice', 'usage'])('%s lists unknown usage', async (word) => {
  const { out } = await callReport(word, 'labels');
  expect(out).toContain('Unknown usage, not in any sum:');
  expect(out).toContain('Tasks without a recorded end, not in any sum:');
  expect(out).not.toContain('without a recorded start');
  expect(out).toContain('no longer holds records before offset 40');
});

// Guards against JSON output that rounds milliseconds or drops fields of a newer version.
test('--json prints the response unchanged', async () => {
  const { out } = await callReport('invoice', 'labels', '--json');
  expect(JSON.parse(out)).toEqual(invoice);
});
