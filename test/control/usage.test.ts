import { expect, test } from '@jest/globals';
import {
  createFakePlatform,
  killVm,
  publishWorkerEntry,
  killWorker,
} from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { readUsageTotals } from './simulation/readUsageTotals.js';
import { advanceTime } from './simulation/advanceTime.js';
import { submitJob } from './simulation/submitJob.js';

// Calls and listings delay the times that the leader knows by up to this much for each run.
const toleranceMs = 50;

// Guards against usage that differs from what the workers ran.
test('runs are billed to their workspace', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 2000, gpu: 4, steps: [{ count: 3 }] });
  advanceTime(platform, 5000);
  const [total] = readUsageTotals(platform);
  expect(total).toMatchObject({ workspace: 'ws', runs: 3, unknownRuns: 0 });
  expect(Math.abs(total!.gpuMs - 3 * 2000 * 4)).toBeLessThan(3 * 4 * toleranceMs);
});

// Guards against runs that are billed twice, or only from the change of leader on.
test('a run is billed once and in full across changes of leader', () => {
  const platform = createFakePlatform({ vms: 3, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 6000, gpu: 2 });
  advanceTime(platform, 2000);
  killVm(findLeader(platform)!);
  advanceTime(platform, 8000);
  killVm(findLeader(platform)!);
  advanceTime(platform, 6000);
  const [total] = readUsageTotals(platform);
  expect(total).toMatchObject({ runs: 1, unknownRuns: 0 });
  expect(Math.abs(total!.gpuMs - 6000 * 2)).toBeLessThan(2 * toleranceMs);
});

// Guards against estimated usage for a run whose end was not observed.
test('a run lost with its worker is billed as unknown', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000 });
  advanceTime(platform, 1000);
  const { workerId } = platform.runs[0]!;
  killWorker(platform, workerId);
  publishWorkerEntry(platform, workerId, 'gone');
  advanceTime(platform, 16_000);
  expect(readUsageTotals(platform)).toMatchObject([{ runs: 1, unknownRuns: 1 }]);
});
