import { expect, test } from '@jest/globals';
import { describeJob } from '../../src/control/report/describeJob.js';
import type { StreamEffect } from '../../src/control/streams/StreamEffect.js';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, killVm } from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { endRun } from './simulation/endRun.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { findUpVmIndex } from './simulation/findUpVmIndex.js';
import { getJobState } from './simulation/getJobState.js';
import { readNewestRecords } from './simulation/readNewestRecords.js';
import { readStoreContent } from './simulation/readStoreContent.js';
import { simulationStartMs } from './simulation/simulationStartMs.js';
import { submitJob } from './simulation/submitJob.js';

const smallNeed = { cpu: 50, memMb: 10, gpu: 0 };
const smallLimits = { maxRecordBytes: 2500, maxCallBytes: 6000 };

type Append = Extract<StreamEffect, { type: 'append' }>;

const listTermEnds = ({ logs }: FakePlatform) => logs.filter(({ code }) => code === 'term_ended');

const countRunning = ({ runs }: FakePlatform): number =>
  runs.filter(({ endedAt }) => endedAt === null).length;

/** Kills the leader as soon as its appends to the runs since now have been stored this many times. */
const killLeaderAfterAppends = (platform: FakePlatform, count: number): void => {
  const { runEffect } = platform;
  const leader = findLeader(platform)!;
  let stored = 0;
  platform.runEffect = (vm, effect) => {
    const isRunsAppend = effect.type === 'append' && effect.stream === 'runs' && vm === leader;
    if (isRunsAppend && stored === count) killVm(leader);
    if (!vm.up) return;
    if (isRunsAppend) stored += 1;
    runEffect(vm, effect);
  };
};

const collectAppends = (platform: FakePlatform): Append[] => {
  const appends: Append[] = [];
  const { runEffect } = platform;
  platform.runEffect = (vm, effect) => {
    if (effect.type === 'append' && effect.stream === 'runs') appends.push(effect);
    runEffect(vm, effect);
  };
  return appends;
};

// Guards against one accepted job whose stored progress outgrows a record of the store: each leader's term ended at the
// refusal, and no task of any job started any more.
test('one job of 9216 tasks holds up no other', () => {
  const platform = createFakePlatform({ vms: 2, workers: 16 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', {
    runMs: 600_000,
    steps: Array.from({ length: 3 }, () => ({ count: 3072, need: smallNeed })),
  });
  advanceTime(platform, 3000);
  submitJob(platform, 'b', { runMs: 500 });
  advanceTime(platform, 2000);
  expect(getJobState(platform, 'b')).toBe('completed');
  expect(countRunning(platform)).toBe(9216);
  expect(listTermEnds(platform)).toEqual([]);
}, 120_000);

// Guards against checkpoints, whose length nobody bounds, that make the progress outgrow a record.
test('long checkpoints hold up no job', () => {
  const platform = createFakePlatform({ vms: 2, workers: 4, checkpointPadding: 30_000 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', {
    runMs: 4000,
    steps: [
      { count: 12, need: smallNeed, checkpointing: true },
      { count: 1, need: smallNeed, after: [0] },
    ],
  });
  advanceTime(platform, 2000);
  endRun(platform, platform.runs[0]!, 'stopped');
  advanceTime(platform, 9000);
  expect(listTermEnds(platform)).toEqual([]);
  expect(getJobState(platform, 'a')).toBe('completed');
});

// Guards against a checkpoint that no record can hold: the progress of its job could never be stored again.
test('a checkpoint longer than a record holds up no job', () => {
  const platform = createFakePlatform({
    vms: 2,
    workers: 2,
    checkpointPadding: 3000,
    storeLimits: smallLimits,
  });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', {
    runMs: 3000,
    steps: [
      { count: 4, need: smallNeed, checkpointing: true },
      { count: 2, need: smallNeed, after: [0] },
    ],
  });
  advanceTime(platform, 2000);
  endRun(platform, platform.runs[0]!, 'stopped');
  advanceTime(platform, 9000);
  expect(listTermEnds(platform)).toEqual([]);
  expect(getJobState(platform, 'a')).toBe('completed');
});

// Guards against a successor that doesn't know the parts: it ran tasks twice or left the job unfinished.
test('a successor goes on with divided progress', () => {
  const platform = createFakePlatform({ vms: 3, workers: 4, storeLimits: smallLimits });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', {
    runMs: 3000,
    steps: [
      { count: 150, need: smallNeed },
      { count: 50, need: { ...smallNeed, gpu: 1 }, gang: false, after: [0] },
      { count: 30, need: smallNeed, gang: true, after: [1] },
    ],
  });
  advanceTime(platform, 1500);
  killVm(findLeader(platform)!);
  advanceTime(platform, 4500);
  killVm(findLeader(platform)!);
  advanceTime(platform, 20_000);
  expect(getJobState(platform, 'a', findUpVmIndex(platform))).toBe('completed');
  expect(platform.runs).toHaveLength(230);
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against a leader that ends between two appends of one change, while it divides the progress.
test.each([0, 1, 2, 3, 5, 8])('a leader may end after %i appends of a change', (count) => {
  const platform = createFakePlatform({ vms: 3, workers: 4, storeLimits: smallLimits });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 2000, steps: [{ count: 30, need: smallNeed }] });
  advanceTime(platform, 1000);
  killLeaderAfterAppends(platform, count);
  submitJob(platform, 'b', {
    vm: findUpVmIndex(platform),
    runMs: 2000,
    steps: [
      { count: 150, need: smallNeed },
      { count: 150, need: smallNeed },
    ],
  });
  advanceTime(platform, 25_000);
  const vm = findUpVmIndex(platform);
  expect(['a', 'b'].map((id) => getJobState(platform, id, vm))).toEqual(['completed', 'completed']);
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against an append of the changes of many jobs that is larger than the store or a slow link takes.
test('the changes of many jobs are appended in several calls', () => {
  const platform = createFakePlatform({
    vms: 1,
    workers: 8,
    storeLimits: { maxRecordBytes: 6000, maxCallBytes: 8000 },
  });
  advanceTime(platform, 3000);
  const ids = Array.from({ length: 30 }, (_, index) => `${index + 1}`);
  platform.store.refusing = true;
  advanceTime(platform, 200);
  platform.store.refusing = false;
  ids.forEach((id) =>
    submitJob(platform, id, { runMs: 1500, steps: [{ count: 60, need: smallNeed }] }),
  );
  advanceTime(platform, 8000);
  expect(listTermEnds(platform)).toEqual([]);
  expect(ids.map((id) => getJobState(platform, id))).toEqual(ids.map(() => 'completed'));
});

// Guards against parts that outlive their job: a later job would find them, and the store fills up.
test('no record of divided progress is left of an ended job', () => {
  const platform = createFakePlatform({ vms: 2, workers: 4, storeLimits: smallLimits });
  advanceTime(platform, 3000);
  const steps = [{ count: 200, need: smallNeed }];
  submitJob(platform, 'a', { runMs: 1000, steps });
  submitJob(platform, 'b', { runMs: 60_000, steps });
  const schedule = { count: 6, startAt: simulationStartMs, intervalMs: 500 };
  submitJob(platform, 'c', { runMs: 1000, steps, schedule });
  advanceTime(platform, 1500);
  submitJob(platform, 'b', { operation: 'cancel' });
  advanceTime(platform, 12_000);
  const states = ['a', 'b', 'c'].map((id) => getJobState(platform, id));
  expect(states).toEqual(['completed', 'cancelled', 'completed']);
  const types = readNewestRecords(platform, 'runs').map(({ type }) => type);
  expect(types).not.toContain('progressHead');
  expect(types).not.toContain('progressPart');
});

// Guards against a change of one task that rewrites the progress of all tasks of its job.
test('only changed parts are written', () => {
  const platform = createFakePlatform({ vms: 1, workers: 4, storeLimits: smallLimits });
  advanceTime(platform, 3000);
  const need = { ...smallNeed, cpu: 500 };
  submitJob(platform, 'a', {
    runMs: 60_000,
    steps: [
      { count: 200, need },
      { count: 40, need, requiredLabel: 'r9' },
    ],
  });
  advanceTime(platform, 2000);
  const appends = collectAppends(platform);
  endRun(platform, platform.runs[0]!, 'failed');
  advanceTime(platform, 4000);
  const parts = appends.flatMap(({ records }) =>
    records.filter(({ type }) => type === 'progressPart'),
  );
  expect(parts.length).toBeGreaterThan(0);
  expect(parts.length).toBeLessThan(5);
});

// Guards against a former version, which doesn't read parts, that starts the tasks of a divided job again.
test('the main record of divided progress names nothing as open or due', () => {
  const platform = createFakePlatform({ vms: 1, workers: 4, storeLimits: smallLimits });
  advanceTime(platform, 3000);
  const schedule = { count: 3, startAt: simulationStartMs, intervalMs: 60_000 };
  submitJob(platform, 'a', {
    runMs: 60_000,
    steps: [{ count: 200, need: smallNeed }],
    schedule,
  });
  advanceTime(platform, 2000);
  expect(readNewestRecords(platform, 'runs')).toContainEqual(
    expect.objectContaining({
      type: 'progress',
      progress: { state: 'running', endedAt: 0, nextOccurrence: 3, openOccurrences: [], tasks: [] },
    }),
  );
});

// Guards against reports that show a job with divided progress as one that never started.
test('the report of a job reads divided progress', () => {
  const platform = createFakePlatform({ vms: 1, workers: 4, storeLimits: smallLimits });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 60_000, steps: [{ count: 200, need: smallNeed }] });
  advanceTime(platform, 2000);
  const report = describeJob(readStoreContent(platform), 'a'.padStart(16, '0'));
  expect(report?.running).toHaveLength(200);
  expect(report?.steps).toEqual([{ tasks: 200, gpu: 0, gang: false, started: 200, done: 0 }]);
});
