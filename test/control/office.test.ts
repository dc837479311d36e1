import { expect, test } from '@jest/globals';
import { createSlowness } from '../../src/control/workers/createSlowness.js';
import { createOffice, killVm, listWorker, startVm, stopWorker } from './world/createOffice.js';
import { findBrokenRules } from './world/findBrokenRules.js';
import { findLead } from './world/findLead.js';
import { runFor } from './world/runFor.js';
import { showState } from './world/showState.js';
import { submitJob } from './world/submitJob.js';

// Guards against a path that accepts jobs and never runs them.
test('a job runs and every VM shows it as completed', () => {
  const office = createOffice({ vms: 3, workers: 2 });
  runFor(office, 3000);
  const request = submitJob(office, 'a', { vm: 1 });
  runFor(office, 50);
  expect(office.answers.get(request)).toEqual({ type: 'accepted' });
  runFor(office, 2000);
  expect([0, 1, 2].map((vm) => showState(office, 'a', vm))).toEqual(Array(3).fill('completed'));
  expect(office.runs).toHaveLength(1);
});

// Guards against two leads that both place work.
test('one VM leads', () => {
  const office = createOffice({ vms: 5, workers: 1 });
  runFor(office, 5000);
  expect(office.vms.filter(({ state }) => state.term !== null)).toHaveLength(1);
});

// Guards against a repeated submission that becomes a second job.
test('the same id at two VMs stays one job', () => {
  const office = createOffice({ vms: 2, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { vm: 0 });
  submitJob(office, 'a', { vm: 1 });
  runFor(office, 3000);
  expect(office.runs).toHaveLength(1);
});

// Guards against work that is lost, or run again, when the lead dies.
test('a killed lead is replaced and its runs go on', () => {
  const office = createOffice({ vms: 3, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 6000, steps: [{ count: 4 }] });
  runFor(office, 500);
  killVm(findLead(office)!);
  runFor(office, 8000);
  expect(office.runs.map(({ kind }) => kind)).toEqual(Array(4).fill('done'));
  expect(
    showState(
      office,
      'a',
      office.vms.findIndex(({ up }) => up),
    ),
  ).toBe('completed');
});

// Guards against a lease that is renewed for ever by looks that nobody answers.
test('a crashed worker gives its tasks back when its lease is over', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 4000 });
  runFor(office, 500);
  const [run] = office.runs;
  stopWorker(office, run!.workerId);
  listWorker(office, run!.workerId, 'gone');
  runFor(office, 14_000);
  expect(showState(office, 'a')).toBe('completed');
  expect(findBrokenRules(office)).toEqual([]);
});

// Guards against tasks of a worker that left as announced waiting for its lease.
test('a drained worker that left gives its tasks back at once', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 4000 });
  runFor(office, 500);
  const [run] = office.runs;
  listWorker(office, run!.workerId, 'draining');
  runFor(office, 1000);
  stopWorker(office, run!.workerId);
  listWorker(office, run!.workerId, 'gone');
  runFor(office, 4000);
  expect(office.runs).toHaveLength(2);
});

// Guards against members of a tight gang for which room is freed in different racks.
test('room for a guaranteed tight gang is reclaimed in one rack', () => {
  const office = createOffice({ vms: 1, workers: 8 });
  runFor(office, 3000);
  for (let job = 0; job < 8; job += 1) {
    submitJob(office, `b${job}`, { runMs: 20_000, gpu: 8, steps: [{ checkpointing: true }] });
  }
  runFor(office, 1000);
  expect(office.runs).toHaveLength(8);
  submitJob(office, 'a', {
    queue: 'u',
    gpu: 8,
    steps: [{ count: 2, gang: true, sameRack: true }],
  });
  runFor(office, 2700);
  const members = office.runs.filter(({ task }) => task.startsWith('a'.padStart(16, '0')));
  const racks = members.map(({ workerId }) => office.workers.get(workerId)!.entry.labels[1]);
  expect(members).toHaveLength(2);
  expect(new Set(racks).size).toBe(1);
});

// Guards against a restart of everything that forgets accepted jobs.
test('jobs survive the loss of all VMs', () => {
  const office = createOffice({ vms: 3, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 9000 });
  runFor(office, 500);
  office.vms.forEach(killVm);
  runFor(office, 1000);
  office.vms.forEach((vm) => startVm(office, vm));
  runFor(office, 14_000);
  expect(showState(office, 'a')).toBe('completed');
  expect(findBrokenRules(office)).toEqual([]);
});

// Guards against a worker that holds its tasks for ever and looks healthy.
test('runs that stand still are moved', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  office.workers.get('w0')!.hanging = true;
  office.workers.get('w1')!.hanging = true;
  submitJob(office, 'a', { runMs: 1000 });
  runFor(office, 500);
  const [run] = office.runs;
  const sound = run!.workerId === 'w0' ? 'w1' : 'w0';
  office.workers.get(sound)!.hanging = false;
  runFor(office, 8000);
  expect(office.runs.map(({ kind, workerId }) => [kind, workerId])).toEqual([
    ['stopped', run!.workerId],
    ['done', sound],
  ]);
});

// Guards against a new lead that sends urgent work to slow workers until it has learned anew.
test('a new lead knows the speeds of the workers', () => {
  const office = createOffice({ vms: 2, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 4000, steps: [{ count: 2, maxPerWorker: 1 }] });
  runFor(office, 8000);
  const former = findLead(office)!;
  killVm(former);
  runFor(office, 4000);
  const unknown = createSlowness().variance;
  const workers = [...findLead(office)!.state.term!.workers.values()];
  expect(workers.map(({ slowness }) => slowness.variance < unknown)).toEqual([true, true]);
});

// Guards against stragglers that are stopped because their figure of progress is full.
test('a run that shows full progress is left to its end', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 16_000 });
  runFor(office, 18_000);
  expect(office.runs.map(({ kind }) => kind)).toEqual(['done']);
});

// Guards against appends that nobody answers, after which callers cannot come back: nothing is sent
// to a store that is known to be silent, so a refusal is true and comes at once.
test('a silent store makes refusals immediate', () => {
  const office = createOffice({ vms: 2, workers: 2 });
  runFor(office, 3000);
  office.store.silent = true;
  runFor(office, 2000);
  const request = submitJob(office, 'a');
  runFor(office, 10);
  expect(office.answers.get(request)).toMatchObject({ type: 'refused', reason: 'store-silent' });
  office.store.silent = false;
  runFor(office, 2000);
  const repeated = submitJob(office, 'a');
  runFor(office, 1000);
  expect(office.answers.get(repeated)).toEqual({ type: 'accepted' });
});

// Guards against a restart of the lead that waits for its own former life to be silent.
test('a restarted lead leads again at once', () => {
  const office = createOffice({ vms: 1, workers: 1 });
  runFor(office, 3000);
  const [vm] = office.vms;
  killVm(vm!);
  runFor(office, 100);
  startVm(office, vm!);
  runFor(office, 500);
  expect(findLead(office)?.id).toBe(vm!.id);
});

// Guards against runs that end with their leases although the cut was shorter than a lease.
test('runs outlast a cut that is shorter than the longest lease', () => {
  const office = createOffice({ vms: 1, workers: 2, maxLeaseMs: 10_000 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 12_000 });
  runFor(office, 2700);
  office.vms[0]!.cutFromWorkers = true;
  runFor(office, 6500);
  office.vms[0]!.cutFromWorkers = false;
  runFor(office, 9000);
  expect(office.runs.map(({ kind }) => kind)).toEqual(['done']);
});

// Guards against a weak VM that becomes the first lead because it happened to start first.
test('a strong VM leads first', () => {
  const leads = [1, 2, 3, 4].map((seed) => {
    const office = createOffice({ vms: 4, workers: 1, cores: [0.243, 0.243, 1.35, 0.243], seed });
    runFor(office, 3000);
    return findLead(office)?.id;
  });
  expect(leads).toEqual(Array(4).fill('vm2'));
});

// Guards against members that wait in vain for one whose start nobody answered.
test('a gang with an unanswered start is stopped as a whole', () => {
  const office = createOffice({ vms: 1, workers: 2 });
  runFor(office, 3000);
  stopWorker(office, 'w1');
  submitJob(office, 'a', { runMs: 9000, steps: [{ count: 2, gang: true, maxPerWorker: 1 }] });
  runFor(office, 1500);
  expect(office.runs.map(({ workerId, kind }) => [workerId, kind])).toEqual([['w0', 'stopped']]);
});

// Guards against starts that workers refuse as late, because a suspended lead took the clock of an old
// answer for the present one.
test('a lead that wakes up starts work with its first order', () => {
  const office = createOffice({ vms: 1, workers: 1 });
  runFor(office, 3000);
  office.vms[0]!.frozenUntil = office.now + 3000;
  runFor(office, 3005);
  submitJob(office, 'a');
  runFor(office, 600);
  expect(office.logs.filter(({ code }) => code === 'run_starting')).toHaveLength(1);
});

// Guards against a claim that was decided before the new lead was heard of.
test('each change of the lead takes one claim', () => {
  const tokens = [1, 2, 3, 4, 5, 6].map((seed) => {
    const office = createOffice({ vms: 3, workers: 1, seed });
    runFor(office, 3000);
    const former = findLead(office)!;
    killVm(former);
    runFor(office, 1400);
    startVm(office, former);
    runFor(office, 1500);
    return findLead(office)!.state.term!.token;
  });
  expect(tokens).toEqual(Array(6).fill(2));
});

// Guards against a draining worker behind a cut that is taken for one that has left: its entry is
// removed for its silence, and its runs go on.
test('a draining worker behind a cut keeps its runs until its lease is over', () => {
  const office = createOffice({ vms: 1, workers: 2, maxLeaseMs: 10_000 });
  runFor(office, 3000);
  submitJob(office, 'a', { runMs: 12_000 });
  runFor(office, 500);
  const { workerId } = office.runs[0]!;
  listWorker(office, workerId, 'draining');
  runFor(office, 500);
  office.workers.get(workerId)!.cutOff = true;
  runFor(office, 3200);
  listWorker(office, workerId, 'gone');
  runFor(office, 2000);
  office.workers.get(workerId)!.cutOff = false;
  listWorker(office, workerId, 'draining');
  runFor(office, 10_000);
  expect(office.runs.map(({ kind }) => kind)).toEqual(['done']);
});
