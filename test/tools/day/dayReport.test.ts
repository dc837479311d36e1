import { expect, test } from '@jest/globals';
import { buildDayReport } from '../../../tools/day/buildDayReport.js';
import { collectJobTraces } from '../../../tools/day/collectJobTraces.js';
import { computeUtilization } from '../../../tools/day/computeUtilization.js';
import { formatUtilizationChart } from '../../../tools/day/formatUtilizationChart.js';
import { parseLogLines } from '../../../tools/day/parseLogLines.js';

const formatLogLine = (seconds: number, code: string, fields: Record<string, unknown>): string =>
  JSON.stringify({ time: new Date(seconds * 1000).toISOString(), code, ...fields });

const record = { record: 'submission', zone: 'z', workspace: 'ws' };
const firstRun = { requestId: 'a', task: 'a.0.0.0', run: 1 };
const secondRun = { requestId: 'a', task: 'a.0.0.0', run: 2 };

const lines = [
  formatLogLine(1, 'request_recorded', { requestId: 'a', ...record, queue: 'q', gpu: 8 }),
  formatLogLine(1, 'step_waiting', { requestId: 'a', guaranteed: true, wholeGpu: 16 }),
  `   3.1 vm-1 ${formatLogLine(3, 'run_starting', { ...firstRun, gpu: 8 })}`,
  formatLogLine(5, 'run_stopping', { ...firstRun, reason: 'preempted' }),
  formatLogLine(6, 'run_over', { ...firstRun, cause: 'stopped' }),
  formatLogLine(6, 'run_starting', { ...secondRun, gpu: 8 }),
  formatLogLine(8, 'task_done', secondRun),
  formatLogLine(9, 'job_ended', { requestId: 'a', outcome: 'completed', queue: 'q' }),
  formatLogLine(2, 'request_recorded', { requestId: 'b', ...record, queue: 'other', gpu: 65 }),
  '{"time":"cut off',
  'no line of a daemon',
].join('\n');

// Guards against a report that counts a lost run twice, or computes a wait from the wrong log line.
test('report has outcomes, times and lost runs', () => {
  const [open, queue] = buildDayReport(collectJobTraces(parseLogLines(lines))).queue;
  expect(queue).toMatchObject({
    group: 'q',
    jobs: 1,
    outcomes: { completed: 1 },
    waited: { guaranteed: 1, others: 0 },
    waitMs: { median: 2000, p95: 2000 },
    ageMs: { median: 8000, p95: 8000 },
    lost: { preempted: { runs: 1, ranMs: 2000 } },
  });
  expect(open).toMatchObject({ group: 'other', jobs: 1, outcomes: { open: 1 } });
});

// Guards against jobs that are missing from a breakdown, or counted in the wrong group.
test('each job is in one group of each breakdown', () => {
  const report = buildDayReport(collectJobTraces(parseLogLines(lines)));
  const groups = Object.entries(report).map(([name, split]) => [
    name,
    split.map(({ group, jobs }) => `${group}: ${jobs}`),
  ]);
  expect(Object.fromEntries(groups)).toEqual({
    queue: ['other: 1', 'q: 1'],
    workspace: ['ws: 2'],
    zone: ['z: 2'],
    size: ['over 64: 1', 'to 8: 1'],
  });
});

// Guards against use by lost runs that counts as productive, and against idle accelerators that are
// not distinguished from those that are idle while work waits.
test('each second is split by use of the accelerators', () => {
  const noUse = { productive: 0, reclaimed: 0, lost: 0, idleWhileWaiting: 0, idle: 0 };
  const slices = computeUtilization(parseLogLines(lines));
  expect(slices).toEqual([
    { ...noUse, second: 1, idleWhileWaiting: 16 },
    { ...noUse, second: 2, idleWhileWaiting: 16 },
    { ...noUse, second: 3, reclaimed: 8, idle: 8 },
    { ...noUse, second: 4, reclaimed: 8, idle: 8 },
    { ...noUse, second: 5, idle: 16 },
    { ...noUse, second: 6, productive: 8, idle: 8 },
    { ...noUse, second: 7, productive: 8, idle: 8 },
    { ...noUse, second: 8, idle: 16 },
  ]);
});

// Guards against a chart that cannot be rendered, or that lacks the parts of its bars.
test('chart is an SVG image', async () => {
  const svg = await formatUtilizationChart(computeUtilization(parseLogLines(lines)));
  expect(svg).toMatch(/^<svg[\s\S]*stopped for a guarantee[\s\S]*<\/svg>$/);
});

// Guards against a chart that fails for a log without runs.
test('log without runs gives an empty chart', async () => {
  expect(computeUtilization(parseLogLines(''))).toEqual([]);
  expect(await formatUtilizationChart([])).toContain('<svg');
});
