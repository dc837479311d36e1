import { expect, test } from '@jest/globals';
import { createOffice } from './world/createOffice.js';
import { runFor } from './world/runFor.js';
import { submitJob } from './world/submitJob.js';

const prefix = (id: string): string => id.padStart(16, '0');

// Pattern: wide tight gangs after a burst of urgent work. Guards against room that stays kept for
// urgent work, spread over all racks, while most of it is idle.
test('a wide tight gang starts while most room is idle', () => {
  const office = createOffice({ vms: 1, workers: 8 });
  runFor(office, 3000);
  for (let job = 0; job < 4; job += 1) submitJob(office, `e${job}`, { queue: 'u', gpu: 8 });
  runFor(office, 3000);
  submitJob(office, 'a', { gpu: 8, steps: [{ count: 3, gang: true, sameRack: true }] });
  runFor(office, 1000);
  expect(office.runs.filter(({ task }) => task.startsWith(prefix('a')))).toHaveLength(3);
});

// Pattern: a crest of urgent work on top of batch work. Guards against batch work that fills all
// workers, so that each urgent job first has to stop some.
test('urgent work finds room beside a backlog', () => {
  const office = createOffice({ vms: 1, workers: 8 });
  runFor(office, 3000);
  for (let job = 0; job < 30; job += 1) submitJob(office, `b${job}`, { gpu: 4, runMs: 9000 });
  runFor(office, 1000);
  submitJob(office, 'a', { queue: 'u', gpu: 4 });
  runFor(office, 300);
  expect(office.runs.filter(({ task }) => task.startsWith(prefix('a')))).toHaveLength(1);
  expect(office.runs.filter(({ kind }) => kind === 'stopped')).toEqual([]);
});

// Pattern: workers of unequal speed. Guards against urgent work on a slow worker beside a fast one.
test('urgent work goes to the worker that proved fast', () => {
  const office = createOffice({ vms: 1, workers: 4 });
  runFor(office, 3000);
  const { workers } = office.vms[0]!.state.term!;
  workers.forEach((worker) => {
    worker.slowness.mean = worker.id === 'w2' ? -0.5 : 0.4;
  });
  submitJob(office, 'a', { queue: 'u' });
  runFor(office, 300);
  expect(office.runs.map(({ workerId }) => workerId)).toEqual(['w2']);
});
