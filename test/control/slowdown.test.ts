import { expect, test } from '@jest/globals';
import type { StepPlan } from '../../src/control/plans/StepPlan.js';
import type { PaceSample } from '../../src/control/workers/PaceSample.js';
import type { Worker } from '../../src/control/workers/Worker.js';
import { updateLogSlowdown } from '../../src/control/workers/updateLogSlowdown.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { advanceTime } from './simulation/advanceTime.js';
import { submitJob } from './simulation/submitJob.js';

const getWorker = (platform: FakePlatform, id: string): Worker =>
  findLeader(platform)!.state.term!.workers.get(id)!;

// Starts a gang with one member on each worker; one worker runs at half speed.
const startGang = (workers: number, slowWorkerId: string): FakePlatform => {
  const platform = createFakePlatform({ vms: 1, workers });
  platform.workers.get(slowWorkerId)!.speed = 0.5;
  advanceTime(platform, 3000);
  const step = { count: workers, gang: true, maxPerWorker: 1 };
  submitJob(platform, 'a', { runMs: 6000, steps: [step] });
  advanceTime(platform, 2500);
  return platform;
};

const buildSamples = (worker: Worker, step: StepPlan, logPace: number): PaceSample[] =>
  [...worker.tasks.values()].map((task) => ({ queue: 'batch', step, task, logPace }));

// Guards against fast workers that are estimated as slow, because all members of a gang over workers of
// unequal speed end together with the slowest.
test('the slow worker of a gang is found by its progress', () => {
  const platform = startGang(4, 'w1');
  const [fast, slow] = ['w0', 'w1'].map((id) => getWorker(platform, id).logSlowdown.mean);
  expect(slow! - fast!).toBeGreaterThan(0.45);
});

// Guards against tasks placed on a worker that is slow for a while, and against an estimate that does not
// recover afterwards.
test('the estimate follows a worker that slows down and recovers', () => {
  const platform = startGang(2, 'w1');
  const worker = getWorker(platform, 'w0');
  const before = worker.logSlowdown.mean;
  const plan = findLeader(platform)!.state.term!.plans.values().next().value!;
  const step = plan.occurrences.get(0)!.steps[0]!;
  const logPace = [...worker.tasks.values()][0]!.paceBaseline.logPace!;
  updateLogSlowdown(worker, buildSamples(worker, step, logPace + Math.log(4)), new Map());
  expect(worker.logSlowdown.mean - before).toBeCloseTo(Math.log(4));
  updateLogSlowdown(worker, buildSamples(worker, step, logPace), new Map());
  expect(worker.logSlowdown.mean).toBeCloseTo(before);
});

// Guards against workers that are estimated as slow because declared run times are far too short.
test('a run time declared too short is attributed to the step', () => {
  const platform = createFakePlatform({ vms: 1, workers: 3 });
  advanceTime(platform, 3000);
  const step = { count: 3, gang: true, maxPerWorker: 1, estimateMs: 1500 };
  submitJob(platform, 'a', { runMs: 6000, steps: [step] });
  advanceTime(platform, 2500);
  const means = ['w0', 'w1', 'w2'].map((id) => getWorker(platform, id).logSlowdown.mean);
  means.forEach((mean) => expect(Math.abs(mean)).toBeLessThan(0.35));
});
