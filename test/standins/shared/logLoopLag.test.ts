import { expect, jest, test } from '@jest/globals';
import { logLoopLag } from '../../../standins/shared/logLoopLag.js';
import { readClock } from '../../../standins/shared/readClock.js';

const waitMs = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const blockLoop = (durationMs: number): void => {
  const until = readClock().at + durationMs;
  while (readClock().at < until);
};

// Guards against a stand-in that stands still without a trace in its log, as in issue 33.
test('a loop that stood still is logged with its processor time', async () => {
  const lines: string[] = [];
  const write = jest.spyOn(process.stdout, 'write').mockImplementation((line) => {
    lines.push(String(line));
    return true;
  });
  const timer = logLoopLag('store');
  try {
    await waitMs(50);
    blockLoop(1000);
    await waitMs(50);
  } finally {
    clearInterval(timer);
    write.mockRestore();
  }
  const lag = lines.find((line) => line.includes('loop_lag')) ?? '{}';
  const { lagMs, cpuMs } = JSON.parse(lag) as { lagMs: number; cpuMs: number };
  expect(lagMs).toBeGreaterThanOrEqual(700);
  expect(cpuMs).toBeGreaterThan(0);
});
