import { expect, test } from '@jest/globals';
import { createFakePlatform, publishWorkerEntry } from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { advanceTime } from './simulation/advanceTime.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { storeRecord } from './simulation/serveStore.js';
import { submitJob } from './simulation/submitJob.js';

const publishOddEntry = (platform: FakePlatform, id: string): void =>
  storeRecord(platform, 'workers', {
    key: id,
    value: Buffer.alloc(0),
    decoded: { type: 'invalidWorker', id, field: 'address' },
  });

const listLogs = (platform: FakePlatform, code: string) =>
  platform.logs.filter((line) => line.code === code);

// Guards against an entry of another writer that makes all capacity look spare.
test('worker that never answered counts as no capacity', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  const entry = { ...platform.workers.get('w0')!.entry, address: '10.0.0.99:80' };
  const decoded = {
    type: 'worker' as const,
    id: 'ghost',
    entry: { ...entry, capacity: { cpu: 1e7, memMb: 1e9, gpu: 4096 } },
  };
  storeRecord(platform, 'workers', { key: 'ghost', value: Buffer.alloc(0), decoded });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { gpu: 16 });
  advanceTime(platform, 1000);
  expect(listLogs(platform, 'step_waiting')[0]?.fields).toMatchObject({ wholeGpu: 16 });
});

// Guards against an odd entry that is logged at each heartbeat, or that stops the reader.
test('odd entry is logged once and keeps its worker from new tasks', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  publishOddEntry(platform, 'w0');
  advanceTime(platform, 1000);
  publishOddEntry(platform, 'w0');
  advanceTime(platform, 1000);
  submitJob(platform, 'a');
  advanceTime(platform, 2000);
  expect(platform.runs).toHaveLength(0);
  expect(listLogs(platform, 'worker_entry_invalid')).toHaveLength(1);
  publishWorkerEntry(platform, 'w0', 'ready');
  advanceTime(platform, 3000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
});

// Guards against an odd entry of a live worker whose runs are taken for lost and started again.
test('runs go on while the entry of their worker is odd', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 6000 });
  advanceTime(platform, 500);
  publishOddEntry(platform, platform.runs[0]!.workerId);
  advanceTime(platform, 8000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against a pass over a long backlog that is repeated at each event, so that nothing else is
// done in time.
test('passes over a long backlog are spaced', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  for (let number = 0; number < 60; number += 1) {
    submitJob(platform, (number + 10).toString(16), { gpu: 8, runMs: 30_000 });
  }
  advanceTime(platform, 1000);
  const { term } = findLeader(platform)!.state;
  expect(term!.nextPlacementAt - term!.lastPlacementAt).toBeGreaterThanOrEqual(25);
  expect(term!.nextPlacementAt - term!.lastPlacementAt).toBeLessThanOrEqual(100);
});
