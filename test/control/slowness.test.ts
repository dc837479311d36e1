import { expect, test } from '@jest/globals';
import type { StepPlan } from '../../src/control/plans/StepPlan.js';
import type { PaceSample } from '../../src/control/workers/PaceSample.js';
import type { Worker } from '../../src/control/workers/Worker.js';
import { learnSlowness } from '../../src/control/workers/learnSlowness.js';
import { createOffice } from './world/createOffice.js';
import { findLead } from './world/findLead.js';
import type { Office } from './world/Office.js';
import { runFor } from './world/runFor.js';
import { submitJob } from './world/submitJob.js';

const getWorker = (office: Office, id: string): Worker =>
  findLead(office)!.state.term!.workers.get(id)!;

// Starts a gang with one member on each worker.
const startGang = (workers: number, slow: string): Office => {
  const office = createOffice({ vms: 1, workers });
  office.workers.get(slow)!.speed = 0.5;
  runFor(office, 3000);
  const step = { count: workers, gang: true, maxPerWorker: 1 };
  submitJob(office, 'a', { runMs: 6000, steps: [step] });
  runFor(office, 2500);
  return office;
};

const sampleAll = (worker: Worker, step: StepPlan, pace: number): PaceSample[] =>
  [...worker.tasks.values()].map((task) => ({ queue: 'batch', step, task, pace }));

// Pattern: gangs over workers of unequal speed. Guards against fast workers that are taken for slow
// ones, because all members of a gang end with its slowest.
test('the slow member of a gang is known by its progress', () => {
  const office = startGang(4, 'w1');
  const [fast, slow] = ['w0', 'w1'].map((id) => getWorker(office, id).slowness.mean);
  expect(slow! - fast!).toBeGreaterThan(0.45);
});

// Pattern: workers that turn slow for a while. Guards against work that goes on to such a worker.
test('a worker that turns slow is noticed and taken back', () => {
  const office = startGang(2, 'w1');
  const worker = getWorker(office, 'w0');
  const before = worker.slowness.mean;
  const plan = findLead(office)!.state.term!.plans.values().next().value!;
  const step = plan.occurrences.get(0)!.steps[0]!;
  const pace = [...worker.tasks.values()][0]!.sample.pace!;
  learnSlowness(worker, sampleAll(worker, step, pace + Math.log(4)), new Map());
  expect(worker.slowness.mean - before).toBeCloseTo(Math.log(4));
  learnSlowness(worker, sampleAll(worker, step, pace), new Map());
  expect(worker.slowness.mean).toBeCloseTo(before);
});

// Pattern: declared times far off. Guards against workers that are taken for slow because a caller
// declared too short a time.
test('a time that was declared too short is put down to the step', () => {
  const office = createOffice({ vms: 1, workers: 3 });
  runFor(office, 3000);
  const step = { count: 3, gang: true, maxPerWorker: 1, estimateMs: 1500 };
  submitJob(office, 'a', { runMs: 6000, steps: [step] });
  runFor(office, 2500);
  const means = ['w0', 'w1', 'w2'].map((id) => getWorker(office, id).slowness.mean);
  means.forEach((mean) => expect(Math.abs(mean)).toBeLessThan(0.35));
});
