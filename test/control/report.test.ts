import { expect, test } from '@jest/globals';
import { buildInvoice } from '../../src/control/report/buildInvoice.js';
import { describeJob } from '../../src/control/report/describeJob.js';
import { describeStatus } from '../../src/control/report/describeStatus.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { readStoreContent } from './simulation/readStoreContent.js';
import { advanceTime } from './simulation/advanceTime.js';
import { simulationStartMs } from './simulation/simulationStartMs.js';
import { submitJob } from './simulation/submitJob.js';

const id = 'a'.padStart(16, '0');

// Guards against a status that differs from the state of the daemons.
test('the status names the leader and counts jobs and workers', () => {
  const platform = createFakePlatform({ vms: 2, workers: 3 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 5000 });
  submitJob(platform, 'b', { runMs: 500 });
  advanceTime(platform, 2000);
  expect(describeStatus(readStoreContent(platform))).toMatchObject({
    lead: findLeader(platform)!.id,
    token: findLeader(platform)!.state.term!.token,
    configVersion: 1,
    jobs: { running: 1, completed: 1 },
    workers: { ready: 3 },
  });
});

// Guards against a job whose tasks cannot be traced to their workers.
test('a job report lists the workers of its tasks', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 5000, steps: [{ count: 2 }, { after: [0] }] });
  advanceTime(platform, 1000);
  const report = describeJob(readStoreContent(platform), id);
  expect(report).toMatchObject({ state: 'running', workspace: 'ws', queue: 'batch' });
  expect(report!.steps.map(({ started }) => started)).toEqual([2, 0]);
  expect(report!.running.map(({ workerId }) => workerId).sort()).toEqual(
    platform.runs.map(({ workerId }) => workerId).sort(),
  );
  expect(describeJob(readStoreContent(platform), 'none')).toBeNull();
});

// Guards against finished occurrences, whose tasks are not stored, that a report leaves out.
test('a job report counts the tasks of finished occurrences', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  const schedule = { count: 3, startAt: simulationStartMs, intervalMs: 1500 };
  submitJob(platform, 'a', { runMs: 200, steps: [{ count: 2 }], schedule });
  advanceTime(platform, 1000);
  const report = describeJob(readStoreContent(platform), id);
  expect(report!.steps.map(({ done }) => done)).toEqual([6]);
});

// Guards against an invoice for the wrong period, or one that differs from the actual runs.
test('an invoice sums the days of its period', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 9000, gpu: 8, steps: [{ count: 2 }] });
  advanceTime(platform, 11_000);
  const content = readStoreContent(platform);
  expect(buildInvoice(content, '2023-11')).toMatchObject([
    { workspace: 'ws', runs: 2, gpuHours: (2 * 8 * 9) / 3600, unknownRuns: 0 },
  ]);
  expect(buildInvoice(content, '2023-12')).toEqual([]);
});
