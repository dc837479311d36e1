import { expect, test } from '@jest/globals';
import { createLogSlowdown } from '../../src/control/workers/createLogSlowdown.js';
import {
  createFakePlatform,
  killVm,
  publishWorkerEntry,
  startVm,
  stopWorker,
} from './simulation/createFakePlatform.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { findLead } from './simulation/findLead.js';
import { advanceTime } from './simulation/advanceTime.js';
import { getJobState } from './simulation/getJobState.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against a path that accepts jobs and never runs them.
test('a job runs and every VM shows it as completed', () => {
  const platform = createFakePlatform({ vms: 3, workers: 2 });
  advanceTime(platform, 3000);
  const request = submitJob(platform, 'a', { vm: 1 });
  advanceTime(platform, 50);
  expect(platform.answers.get(request)).toEqual({ type: 'accepted' });
  advanceTime(platform, 2000);
  expect([0, 1, 2].map((vm) => getJobState(platform, 'a', vm))).toEqual(Array(3).fill('completed'));
  expect(platform.runs).toHaveLength(1);
});

// Guards against two leads that both place work.
test('one VM leads', () => {
  const platform = createFakePlatform({ vms: 5, workers: 1 });
  advanceTime(platform, 5000);
  expect(platform.vms.filter(({ state }) => state.term !== null)).toHaveLength(1);
});

// Guards against a repeated submission that becomes a second job.
test('the same id at two VMs stays one job', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { vm: 0 });
  submitJob(platform, 'a', { vm: 1 });
  advanceTime(platform, 3000);
  expect(platform.runs).toHaveLength(1);
});

// Guards against work that is lost, or run again, when the lead dies.
test('a killed lead is replaced and its runs go on', () => {
  const platform = createFakePlatform({ vms: 3, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 6000, steps: [{ count: 4 }] });
  advanceTime(platform, 500);
  killVm(findLead(platform)!);
  advanceTime(platform, 8000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(Array(4).fill('done'));
  expect(
    getJobState(
      platform,
      'a',
      platform.vms.findIndex(({ up }) => up),
    ),
  ).toBe('completed');
});

// Guards against a lease that is renewed for ever by looks that nobody answers.
test('a crashed worker gives its tasks back when its lease is over', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000 });
  advanceTime(platform, 500);
  const [run] = platform.runs;
  stopWorker(platform, run!.workerId);
  publishWorkerEntry(platform, run!.workerId, 'gone');
  advanceTime(platform, 14_000);
  expect(getJobState(platform, 'a')).toBe('completed');
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against tasks of a worker that left as announced waiting for its lease.
test('a drained worker that left gives its tasks back at once', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000 });
  advanceTime(platform, 500);
  const [run] = platform.runs;
  publishWorkerEntry(platform, run!.workerId, 'draining');
  advanceTime(platform, 1000);
  stopWorker(platform, run!.workerId);
  publishWorkerEntry(platform, run!.workerId, 'gone');
  advanceTime(platform, 4000);
  expect(platform.runs).toHaveLength(2);
});

// Guards against members of a tight gang for which room is freed in different racks.
test('room for a guaranteed tight gang is reclaimed in one rack', () => {
  const platform = createFakePlatform({ vms: 1, workers: 8 });
  advanceTime(platform, 3000);
  for (let job = 0; job < 8; job += 1) {
    submitJob(platform, `b${job}`, { runMs: 20_000, gpu: 8, steps: [{ checkpointing: true }] });
  }
  advanceTime(platform, 1000);
  expect(platform.runs).toHaveLength(8);
  submitJob(platform, 'a', {
    queue: 'u',
    gpu: 8,
    steps: [{ count: 2, gang: true, sameRack: true }],
  });
  advanceTime(platform, 2700);
  const members = platform.runs.filter(({ task }) => task.startsWith('a'.padStart(16, '0')));
  const racks = members.map(({ workerId }) => platform.workers.get(workerId)!.entry.labels[1]);
  expect(members).toHaveLength(2);
  expect(new Set(racks).size).toBe(1);
});

// Guards against a restart of everything that forgets accepted jobs.
test('jobs survive the loss of all VMs', () => {
  const platform = createFakePlatform({ vms: 3, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 9000 });
  advanceTime(platform, 500);
  platform.vms.forEach(killVm);
  advanceTime(platform, 1000);
  platform.vms.forEach((vm) => startVm(platform, vm));
  advanceTime(platform, 14_000);
  expect(getJobState(platform, 'a')).toBe('completed');
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against a worker that holds its tasks for ever and looks healthy.
test('runs that stand still are moved', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  platform.workers.get('w0')!.stalled = true;
  platform.workers.get('w1')!.stalled = true;
  submitJob(platform, 'a', { runMs: 1000 });
  advanceTime(platform, 500);
  const [run] = platform.runs;
  const sound = run!.workerId === 'w0' ? 'w1' : 'w0';
  platform.workers.get(sound)!.stalled = false;
  advanceTime(platform, 8000);
  expect(platform.runs.map(({ kind, workerId }) => [kind, workerId])).toEqual([
    ['stopped', run!.workerId],
    ['done', sound],
  ]);
});

// Guards against a new lead that sends urgent work to slow workers until it has learned anew.
test('a new lead knows the speeds of the workers', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000, steps: [{ count: 2, maxPerWorker: 1 }] });
  advanceTime(platform, 8000);
  const former = findLead(platform)!;
  killVm(former);
  advanceTime(platform, 4000);
  const unknown = createLogSlowdown().variance;
  const workers = [...findLead(platform)!.state.term!.workers.values()];
  expect(workers.map(({ logSlowdown: slowness }) => slowness.variance < unknown)).toEqual([
    true,
    true,
  ]);
});

// Guards against stragglers that are stopped because their figure of progress is full.
test('a run that shows full progress is left to its end', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 16_000 });
  advanceTime(platform, 18_000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
});

// Guards against appends that nobody answers, after which callers cannot come back: nothing is sent
// to a store that is known to be silent, so a refusal is true and comes at once.
test('a silent store makes refusals immediate', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  platform.store.unresponsive = true;
  advanceTime(platform, 2000);
  const request = submitJob(platform, 'a');
  advanceTime(platform, 10);
  expect(platform.answers.get(request)).toMatchObject({ type: 'refused', reason: 'store-silent' });
  platform.store.unresponsive = false;
  advanceTime(platform, 2000);
  const repeated = submitJob(platform, 'a');
  advanceTime(platform, 1000);
  expect(platform.answers.get(repeated)).toEqual({ type: 'accepted' });
});

// Guards against a restart of the lead that waits for its own former life to be silent.
test('a restarted lead leads again at once', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  const [vm] = platform.vms;
  killVm(vm!);
  advanceTime(platform, 100);
  startVm(platform, vm!);
  advanceTime(platform, 500);
  expect(findLead(platform)?.id).toBe(vm!.id);
});

// Guards against runs that end with their leases although the cut was shorter than a lease.
test('runs outlast a cut that is shorter than the longest lease', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2, maxLeaseMs: 10_000 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 12_000 });
  advanceTime(platform, 2700);
  platform.vms[0]!.partitionedFromWorkers = true;
  advanceTime(platform, 6500);
  platform.vms[0]!.partitionedFromWorkers = false;
  advanceTime(platform, 9000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
});

// Guards against a weak VM that becomes the first lead because it happened to start first.
test('a strong VM leads first', () => {
  const leads = [1, 2, 3, 4].map((seed) => {
    const platform = createFakePlatform({
      vms: 4,
      workers: 1,
      cores: [0.243, 0.243, 1.35, 0.243],
      seed,
    });
    advanceTime(platform, 3000);
    return findLead(platform)?.id;
  });
  expect(leads).toEqual(Array(4).fill('vm2'));
});

// Guards against members that wait in vain for one whose start nobody answered.
test('a gang with an unanswered start is stopped as a whole', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  stopWorker(platform, 'w1');
  submitJob(platform, 'a', { runMs: 9000, steps: [{ count: 2, gang: true, maxPerWorker: 1 }] });
  advanceTime(platform, 1500);
  expect(platform.runs.map(({ workerId, kind }) => [workerId, kind])).toEqual([['w0', 'stopped']]);
});

// Guards against starts that workers refuse as late, because a suspended lead took the clock of an old
// answer for the present one.
test('a lead that wakes up starts work with its first order', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  platform.vms[0]!.pausedUntil = platform.now + 3000;
  advanceTime(platform, 3005);
  submitJob(platform, 'a');
  advanceTime(platform, 600);
  expect(platform.logs.filter(({ code }) => code === 'run_starting')).toHaveLength(1);
});

// Guards against a claim that was decided before the new lead was heard of.
test('each change of the lead takes one claim', () => {
  const tokens = [1, 2, 3, 4, 5, 6].map((seed) => {
    const platform = createFakePlatform({ vms: 3, workers: 1, seed });
    advanceTime(platform, 3000);
    const former = findLead(platform)!;
    killVm(former);
    advanceTime(platform, 1400);
    startVm(platform, former);
    advanceTime(platform, 1500);
    return findLead(platform)!.state.term!.token;
  });
  expect(tokens).toEqual(Array(6).fill(2));
});

// Guards against a draining worker behind a cut that is taken for one that has left: its entry is
// removed for its silence, and its runs go on.
test('a draining worker behind a cut keeps its runs until its lease is over', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2, maxLeaseMs: 10_000 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 12_000 });
  advanceTime(platform, 500);
  const { workerId } = platform.runs[0]!;
  publishWorkerEntry(platform, workerId, 'draining');
  advanceTime(platform, 500);
  platform.workers.get(workerId)!.partitioned = true;
  advanceTime(platform, 3200);
  publishWorkerEntry(platform, workerId, 'gone');
  advanceTime(platform, 2000);
  platform.workers.get(workerId)!.partitioned = false;
  publishWorkerEntry(platform, workerId, 'draining');
  advanceTime(platform, 10_000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
});
