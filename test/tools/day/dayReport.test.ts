import { expect, test } from '@jest/globals';
import { buildDayReport } from '../../../tools/day/buildDayReport.js';
import { parseLines } from '../../../tools/day/parseLines.js';
import { collectTraces } from '../../../tools/day/collectTraces.js';

const write = (second: number, code: string, fields: Record<string, unknown>): string =>
  JSON.stringify({ time: new Date(second * 1000).toISOString(), code, ...fields });

const lines = [
  write(1, 'request_recorded', { requestId: 'a', record: 'submission' }),
  write(1, 'step_waiting', { requestId: 'a', guaranteed: true }),
  `   3.1 vm-1 ${write(3, 'run_starting', { requestId: 'a', task: 'a.0.0.0', run: 1 })}`,
  write(5, 'run_stopping', { requestId: 'a', task: 'a.0.0.0', run: 1, reason: 'preempted' }),
  write(6, 'run_over', { requestId: 'a', task: 'a.0.0.0', run: 1, cause: 'stopped' }),
  write(9, 'job_ended', { requestId: 'a', outcome: 'completed', queue: 'q' }),
  write(2, 'request_recorded', { requestId: 'b', record: 'submission' }),
  '{"time":"cut off',
  'no line of a daemon',
].join('\n');

// Guards against a report that counts a lost run twice, or takes another line's time for the wait.
test('a day is split into waits and lost runs', () => {
  const [open, queue] = buildDayReport(collectTraces(parseLines(lines)));
  expect(queue).toMatchObject({
    queue: 'q',
    jobs: 1,
    outcomes: { completed: 1 },
    waited: { guaranteed: 1, others: 0 },
    waitMs: { median: 2000, p95: 2000 },
    ageMs: { median: 8000, p95: 8000 },
    lost: { preempted: { runs: 1, ranMs: 2000 } },
  });
  expect(open).toMatchObject({ queue: '(not ended)', jobs: 1, outcomes: { open: 1 } });
});
