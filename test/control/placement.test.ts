import { expect, test } from '@jest/globals';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { advanceTime } from './simulation/advanceTime.js';
import { submitJob } from './simulation/submitJob.js';

const buildTaskPrefix = (id: string): string => id.padStart(16, '0');

// Guards against workers in all racks that stay reserved for urgent jobs while most of them are idle: after
// a burst of urgent jobs, a wide same-rack gang then finds no rack.
test('a wide same-rack gang starts while most capacity is idle', () => {
  const platform = createFakePlatform({ vms: 1, workers: 8 });
  advanceTime(platform, 3000);
  for (let job = 0; job < 4; job += 1) submitJob(platform, `e${job}`, { queue: 'u', gpu: 8 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { gpu: 8, steps: [{ count: 3, gang: true, sameRack: true }] });
  advanceTime(platform, 1000);
  expect(platform.runs.filter(({ task }) => task.startsWith(buildTaskPrefix('a')))).toHaveLength(3);
});

// Guards against batch jobs that fill all workers, so that at a peak of urgent jobs each of these has to
// preempt some first.
test('an urgent job starts without preemption beside a backlog', () => {
  const platform = createFakePlatform({ vms: 1, workers: 8 });
  advanceTime(platform, 3000);
  for (let job = 0; job < 30; job += 1) submitJob(platform, `b${job}`, { gpu: 4, runMs: 9000 });
  advanceTime(platform, 1000);
  submitJob(platform, 'a', { queue: 'u', gpu: 4 });
  advanceTime(platform, 300);
  expect(platform.runs.filter(({ task }) => task.startsWith(buildTaskPrefix('a')))).toHaveLength(1);
  expect(platform.runs.filter(({ kind }) => kind === 'stopped')).toEqual([]);
});

// Guards against an urgent job on a slow worker while a fast one is free, if workers differ in speed.
test('an urgent job runs on the worker with the lowest slowdown', () => {
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

// Allocates all accelerators and little CPU of the given workers, by quarantining the others meanwhile.
const fillWorkers = (workerIds: string[]): FakePlatform => {
  const platform = createFakePlatform({ vms: 1, workers: 6 });
  advanceTime(platform, 3000);
  const term = findLeader(platform)!.state.term!;
  term.workers.forEach((worker) => {
    if (!workerIds.includes(worker.id)) worker.quarantinedUntil = Number.POSITIVE_INFINITY;
  });
  workerIds.forEach((_, job) => submitJob(platform, `f${job}`, { gpu: 8, runMs: 20_000 }));
  advanceTime(platform, 3000);
  term.workers.forEach((worker) => {
    worker.quarantinedUntil = 0;
  });
  return platform;
};

const countRuns = (platform: FakePlatform, id: string): number =>
  platform.runs.filter(({ task }) => task.startsWith(buildTaskPrefix(id))).length;

// Guards against tasks that wait indefinitely beside idle workers reserved for urgent jobs, as those with
// many accelerators and few cores do after the urgent load of the day, and against reserved workers that are
// released while urgent jobs still arrive.
test.each([
  ['open to a starved step without recent urgent jobs', 0, false, 2],
  ['closed to a starved step after recent urgent jobs', 10_000, false, 0],
  ['open to a long-running step after recent urgent jobs', 10_000, true, 2],
])('reserved workers are %s', (_name, newestObservedAt, longRunning, expected) => {
  const platform = fillWorkers(['w0', 'w1', 'w2', 'w4']);
  const term = findLeader(platform)!.state.term!;
  term.urgentDemand = {
    peakGpu: 16,
    updatedAt: platform.now,
    newestAcceptedAt: 0,
    newestObservedAt,
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

// Guards against same-rack gangs that wait for a free rack as long as other jobs run, while idle workers are
// spread over racks.
test('a same-rack gang spans racks after a wait if capacity is idle', () => {
  const platform = fillWorkers(['w0', 'w1', 'w2', 'w4']);
  submitJob(platform, 'a', { gpu: 8, steps: [{ count: 2, gang: true, sameRack: true }] });
  advanceTime(platform, 1800);
  expect(countRuns(platform, 'a')).toBe(0);
  advanceTime(platform, 900);
  expect(countRuns(platform, 'a')).toBe(2);
});

// Guards against tasks whose data is in a full rack and that wait for a worker there for as long as they
// would run.
test('a task leaves its data rack after a wait if capacity is idle', () => {
  const platform = fillWorkers(['w0', 'w1', 'w2', 'w3']);
  submitJob(platform, 'a', { gpu: 8, runMs: 9000, steps: [{ dataRack: 'r0' }] });
  advanceTime(platform, 1800);
  expect(countRuns(platform, 'a')).toBe(0);
  advanceTime(platform, 900);
  expect(countRuns(platform, 'a')).toBe(1);
});
