import { expect, test } from '@jest/globals';
import { createOffice, killVm, listWorker, stopWorker } from './world/createOffice.js';
import { findLead } from './world/findLead.js';
import { readUsage } from './world/readUsage.js';
import { runFor } from './world/runFor.js';
import { submitJob } from './world/submitJob.js';

// Ways of the orders and listings between the lead's times and the worker's.
const toleranceMs = 50;

// Guards against an invoice that differs from what the workers ran.
test('what ran is billed to its workspace', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 2000, gpu: 4, steps: [{ count: 3 }] });
  runFor(office, 5000);
  const [total] = readUsage(office);
  expect(total).toMatchObject({ workspace: 'ws', runs: 3, unknownRuns: 0 });
  expect(Math.abs(total!.gpuMs - 3 * 2000 * 4)).toBeLessThan(3 * 4 * toleranceMs);
});

// Guards against runs that are billed twice, or only from the change of the lead on.
test('a run is billed once and whole when the lead changes', () => {
  const office = createOffice({ vms: 3, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 6000, gpu: 2 });
  runFor(office, 2000);
  killVm(findLead(office)!);
  runFor(office, 8000);
  killVm(findLead(office)!);
  runFor(office, 6000);
  const [total] = readUsage(office);
  expect(total).toMatchObject({ runs: 1, unknownRuns: 0 });
  expect(Math.abs(total!.gpuMs - 6000 * 2)).toBeLessThan(2 * toleranceMs);
});

// Guards against a guess where nobody saw the end of a run.
test('a run that was lost with its worker is listed as unknown', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 4000 });
  runFor(office, 1000);
  const { workerId } = office.runs[0]!;
  stopWorker(office, workerId);
  listWorker(office, workerId, 'gone');
  runFor(office, 16_000);
  expect(readUsage(office)).toMatchObject([{ runs: 1, unknownRuns: 1 }]);
});
