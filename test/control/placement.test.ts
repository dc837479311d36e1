import { expect, test } from '@jest/globals';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { findLead } from './simulation/findLead.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { advanceTime } from './simulation/advanceTime.js';
import { submitJob } from './simulation/submitJob.js';

const prefix = (id: string): string => id.padStart(16, '0');

// Pattern: wide tight gangs after a burst of urgent work. Guards against room that stays kept for
// urgent work, spread over all racks, while most of it is idle.
test('a wide tight gang starts while most room is idle', () => {
  const platform = createFakePlatform({ vms: 1, workers: 8 });
  advanceTime(platform, 3000);
  for (let job = 0; job < 4; job += 1) submitJob(platform, `e${job}`, { queue: 'u', gpu: 8 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { gpu: 8, steps: [{ count: 3, gang: true, sameRack: true }] });
  advanceTime(platform, 1000);
  expect(platform.runs.filter(({ task }) => task.startsWith(prefix('a')))).toHaveLength(3);
});

// Pattern: a crest of urgent work on top of batch work. Guards against batch work that fills all
// workers, so that each urgent job first has to stop some.
test('urgent work finds room beside a backlog', () => {
  const platform = createFakePlatform({ vms: 1, workers: 8 });
  advanceTime(platform, 3000);
  for (let job = 0; job < 30; job += 1) submitJob(platform, `b${job}`, { gpu: 4, runMs: 9000 });
  advanceTime(platform, 1000);
  submitJob(platform, 'a', { queue: 'u', gpu: 4 });
  advanceTime(platform, 300);
  expect(platform.runs.filter(({ task }) => task.startsWith(prefix('a')))).toHaveLength(1);
  expect(platform.runs.filter(({ kind }) => kind === 'stopped')).toEqual([]);
});

// Pattern: workers of unequal speed. Guards against urgent work on a slow worker beside a fast one.
test('urgent work goes to the worker that proved fast', () => {
  const platform = createFakePlatform({ vms: 1, workers: 4 });
  advanceTime(platform, 3000);
  const { workers } = platform.vms[0]!.state.term!;
  workers.forEach((worker) => {
    worker.logSlowdown.mean = worker.id === 'w2' ? -0.5 : 0.4;
  });
  submitJob(platform, 'a', { queue: 'u' });
  advanceTime(platform, 300);
  expect(platform.runs.map(({ workerId }) => workerId)).toEqual(['w2']);
});

// Runs two whole workers of accelerators in each of two racks, with hardly any processors.
const fillWorkers = (workers: string[]): FakePlatform => {
  const platform = createFakePlatform({ vms: 1, workers: 6 });
  advanceTime(platform, 3000);
  const term = findLead(platform)!.state.term!;
  term.workers.forEach((worker) => {
    if (!workers.includes(worker.id)) worker.quarantinedUntil = Number.POSITIVE_INFINITY;
  });
  workers.forEach((_, job) => submitJob(platform, `f${job}`, { gpu: 8, runMs: 20_000 }));
  advanceTime(platform, 3000);
  term.workers.forEach((worker) => {
    worker.quarantinedUntil = 0;
  });
  return platform;
};

const countRuns = (platform: FakePlatform, id: string): number =>
  platform.runs.filter(({ task }) => task.startsWith(prefix(id))).length;

// Pattern: wide accelerators on few processors, after the urgent work of the day. Guards against work
// that waits without an end beside idle workers that are kept for urgent work, and against kept workers
// that are given away while urgent work still comes.
test.each([
  ['a quiet time', 0, false, 2],
  ['a busy time', 10_000, false, 0],
  ['a busy time, for work that lasts', 10_000, true, 2],
])('kept workers in %s', (_name, newestAt, longRunning, expected) => {
  const platform = fillWorkers(['w0', 'w1', 'w2', 'w4']);
  const term = findLead(platform)!.state.term!;
  term.urgentDemand = {
    peakGpu: 16,
    updatedAt: platform.now,
    newestAcceptedAt: 0,
    newestObservedAt: newestAt,
  };
  ['w3', 'w5'].forEach((id) => {
    term.workers.get(id)!.logSlowdown.mean = -0.5;
  });
  submitJob(platform, 'a', { gpu: 8, runMs: 9000, steps: [{ count: 2, longRunning }] });
  advanceTime(platform, 1800);
  expect(countRuns(platform, 'a')).toBe(0);
  advanceTime(platform, 900);
  expect(countRuns(platform, 'a')).toBe(expected);
});

// Pattern: idle workers spread over racks. Guards against tight gangs that wait for a rack to come free
// for as long as others run.
test('a tight gang crosses racks rather than wait beside plenty of room', () => {
  const platform = fillWorkers(['w0', 'w1', 'w2', 'w4']);
  submitJob(platform, 'a', { gpu: 8, steps: [{ count: 2, gang: true, sameRack: true }] });
  advanceTime(platform, 1800);
  expect(countRuns(platform, 'a')).toBe(0);
  advanceTime(platform, 900);
  expect(countRuns(platform, 'a')).toBe(2);
});

// Pattern: data in a rack that is full. Guards against work that waits for a place near its data for as
// long as it would run.
test('work leaves its data rather than wait beside plenty of room', () => {
  const platform = fillWorkers(['w0', 'w1', 'w2', 'w3']);
  submitJob(platform, 'a', { gpu: 8, runMs: 9000, steps: [{ dataRack: 'r0' }] });
  advanceTime(platform, 1800);
  expect(countRuns(platform, 'a')).toBe(0);
  advanceTime(platform, 900);
  expect(countRuns(platform, 'a')).toBe(1);
});
