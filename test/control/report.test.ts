import { expect, test } from '@jest/globals';
import { buildInvoice } from '../../src/control/report/buildInvoice.js';
import { describeJob } from '../../src/control/report/describeJob.js';
import { describeStatus } from '../../src/control/report/describeStatus.js';
import { createOffice } from './world/createOffice.js';
import { findLead } from './world/findLead.js';
import { readContent } from './world/readContent.js';
import { runFor } from './world/runFor.js';
import { submitJob } from './world/submitJob.js';

const id = 'a'.padStart(16, '0');

// Guards against an overview that differs from what the daemons do.
test('the status names the lead and counts jobs and workers', () => {
  const office = createOffice({ vms: 2, workers: 3 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 5000 });
  submitJob(office, 'b', { runMs: 500 });
  runFor(office, 2000);
  expect(describeStatus(readContent(office))).toMatchObject({
    lead: findLead(office)!.id,
    token: findLead(office)!.state.term!.token,
    configVersion: 1,
    jobs: { running: 1, completed: 1 },
    workers: { ready: 3 },
  });
});

// Guards against a job that cannot be followed to its workers.
test('a job shows where its tasks run', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 5000, steps: [{ count: 2 }, { after: [0] }] });
  runFor(office, 1000);
  const report = describeJob(readContent(office), id);
  expect(report).toMatchObject({ state: 'running', workspace: 'ws', queue: 'batch' });
  expect(report!.steps.map(({ started }) => started)).toEqual([2, 0]);
  expect(report!.running.map(({ workerId }) => workerId).sort()).toEqual(
    office.runs.map(({ workerId }) => workerId).sort(),
  );
  expect(describeJob(readContent(office), 'none')).toBeNull();
});

// Guards against an invoice over the wrong period, or one that differs from what ran.
test('an invoice adds up the days of its period', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 9000, gpu: 8, steps: [{ count: 2 }] });
  runFor(office, 11_000);
  const content = readContent(office);
  expect(buildInvoice(content, '2023-11')).toMatchObject([
    { workspace: 'ws', runs: 2, gpuHours: (2 * 8 * 9) / 3600, unknownRuns: 0 },
  ]);
  expect(buildInvoice(content, '2023-12')).toEqual([]);
});
