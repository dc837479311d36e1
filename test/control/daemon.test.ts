import { expect, test } from '@jest/globals';
import { createLogSlowdown } from '../../src/control/workers/createLogSlowdown.js';
import {
  createFakePlatform,
  killVm,
  publishWorkerEntry,
  startVm,
  killWorker,
} from './simulation/createFakePlatform.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { findLeader } from './simulation/findLeader.js';
import { advanceTime } from './simulation/advanceTime.js';
import { findUpVmIndex } from './simulation/findUpVmIndex.js';
import { getJobState } from './simulation/getJobState.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against jobs that are accepted and never run.
test('a job runs and all VMs report it as completed', () => {
  const platform = createFakePlatform({ vms: 3, workers: 2 });
  advanceTime(platform, 3000);
  const requestId = submitJob(platform, 'a', { vm: 1 });
  advanceTime(platform, 50);
  expect(platform.answers.get(requestId)).toEqual({ type: 'accepted' });
  advanceTime(platform, 2000);
  expect([0, 1, 2].map((vm) => getJobState(platform, 'a', vm))).toEqual(Array(3).fill('completed'));
  expect(platform.runs).toHaveLength(1);
});

// Guards against two leaders that both place tasks.
test('exactly one VM becomes the leader', () => {
  const platform = createFakePlatform({ vms: 5, workers: 1 });
  advanceTime(platform, 5000);
  expect(platform.vms.filter(({ state }) => state.term !== null)).toHaveLength(1);
});

// Guards against a repeated submission that becomes a second job.
test('a job submitted at two VMs runs once', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { vm: 0 });
  submitJob(platform, 'a', { vm: 1 });
  advanceTime(platform, 3000);
  expect(platform.runs).toHaveLength(1);
});

// Guards against tasks that are lost or run again when the leader crashes.
test('runs continue under a new leader when the leader is killed', () => {
  const platform = createFakePlatform({ vms: 3, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 6000, steps: [{ count: 4 }] });
  advanceTime(platform, 500);
  killVm(findLeader(platform)!);
  advanceTime(platform, 8000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(Array(4).fill('done'));
  expect(getJobState(platform, 'a', findUpVmIndex(platform))).toBe('completed');
});

// Guards against unanswered polls that are taken to renew the lease of a crashed worker forever.
test('tasks of a crashed worker restart after its lease expires', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000 });
  advanceTime(platform, 500);
  const [run] = platform.runs;
  killWorker(platform, run!.workerId);
  publishWorkerEntry(platform, run!.workerId, 'gone');
  advanceTime(platform, 14_000);
  expect(getJobState(platform, 'a')).toBe('completed');
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against tasks that wait for a lease as long as any other, when their worker drained and left.
test('tasks of a drained worker restart soon after it left', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2, maxLeaseMs: 10_000 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 20_000 });
  advanceTime(platform, 500);
  const [run] = platform.runs;
  publishWorkerEntry(platform, run!.workerId, 'draining');
  advanceTime(platform, 10_000);
  killWorker(platform, run!.workerId);
  publishWorkerEntry(platform, run!.workerId, 'gone');
  advanceTime(platform, 4000);
  expect(platform.runs).toHaveLength(2);
});

// Guards against preemptions for a same-rack gang that free capacity in different racks.
test('preemption for a guaranteed same-rack gang frees one rack', () => {
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

// Guards against accepted jobs that are lost when all daemons restart.
test('jobs survive a crash of all VMs', () => {
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

// Guards against runs that stay forever on a worker that seems healthy but makes no progress.
test('stalled runs move to another worker', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  platform.workers.get('w0')!.stalled = true;
  platform.workers.get('w1')!.stalled = true;
  submitJob(platform, 'a', { runMs: 1000 });
  advanceTime(platform, 500);
  const [run] = platform.runs;
  const healthyId = run!.workerId === 'w0' ? 'w1' : 'w0';
  platform.workers.get(healthyId)!.stalled = false;
  advanceTime(platform, 8000);
  expect(platform.runs.map(({ kind, workerId }) => [kind, workerId])).toEqual([
    ['stopped', run!.workerId],
    ['done', healthyId],
  ]);
});

// Guards against a new leader that places urgent tasks on slow workers until it has estimated their
// slowdown again.
test('a new leader restores the slowdown estimates of workers', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000, steps: [{ count: 2, maxPerWorker: 1 }] });
  advanceTime(platform, 8000);
  const former = findLeader(platform)!;
  killVm(former);
  advanceTime(platform, 4000);
  const initialVariance = createLogSlowdown().variance;
  const workers = [...findLeader(platform)!.state.term!.workers.values()];
  expect(workers.map(({ logSlowdown }) => logSlowdown.variance < initialVariance)).toEqual([
    true,
    true,
  ]);
});

// Guards against runs that are stopped as stalled because their reported progress stays at 100 percent.
test('a run that reports full progress is not stopped', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 16_000 });
  advanceTime(platform, 18_000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
});

// Guards against appends of unknown outcome, after which callers cannot retry: nothing is sent to a store
// that is known to be unresponsive, so the refusal is certain and immediate.
test('submissions are refused at once while the store is unresponsive', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  platform.store.unresponsive = true;
  advanceTime(platform, 2000);
  const requestId = submitJob(platform, 'a');
  advanceTime(platform, 10);
  expect(platform.answers.get(requestId)).toMatchObject({
    type: 'refused',
    reason: 'store-silent',
  });
  platform.store.unresponsive = false;
  advanceTime(platform, 2000);
  const repeatedId = submitJob(platform, 'a');
  advanceTime(platform, 1000);
  expect(platform.answers.get(repeatedId)).toEqual({ type: 'accepted' });
});

// Guards against a restarted leader that waits for its previous incarnation to time out.
test('a restarted leader leads again at once', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  const [vm] = platform.vms;
  killVm(vm!);
  advanceTime(platform, 100);
  startVm(platform, vm!);
  advanceTime(platform, 500);
  expect(findLeader(platform)?.id).toBe(vm!.id);
});

// Guards against leases that expire during a partition shorter than the maximum lease.
test('runs survive a partition shorter than the maximum lease', () => {
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

// Guards against a VM with little CPU that becomes the first leader because it started first.
test('the VM with the most CPU becomes the first leader', () => {
  const leaderIds = [1, 2, 3, 4].map((seed) => {
    const platform = createFakePlatform({
      vms: 4,
      workers: 1,
      cores: [0.243, 0.243, 1.35, 0.243],
      seed,
    });
    advanceTime(platform, 3000);
    return findLeader(platform)?.id;
  });
  expect(leaderIds).toEqual(Array(4).fill('vm2'));
});

// Guards against gang members that wait for one whose start was unanswered.
test('an unanswered start stops the whole gang', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  killWorker(platform, 'w1');
  submitJob(platform, 'a', { runMs: 9000, steps: [{ count: 2, gang: true, maxPerWorker: 1 }] });
  advanceTime(platform, 1500);
  expect(platform.runs.map(({ workerId, kind }) => [workerId, kind])).toEqual([['w0', 'stopped']]);
});

// Guards against starts that workers refuse as late, because a suspended leader took the worker clock in
// an old answer for the current one.
test('a resumed leader starts a task with its first call', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  platform.vms[0]!.pausedUntil = platform.now + 3000;
  advanceTime(platform, 3005);
  submitJob(platform, 'a');
  advanceTime(platform, 600);
  expect(platform.logs.filter(({ code }) => code === 'run_starting')).toHaveLength(1);
});

// Guards against a claim that was decided before the VM learned of the new leader.
test('each change of leader takes one claim', () => {
  const tokens = [1, 2, 3, 4, 5, 6].map((seed) => {
    const platform = createFakePlatform({ vms: 3, workers: 1, seed });
    advanceTime(platform, 3000);
    const former = findLeader(platform)!;
    killVm(former);
    advanceTime(platform, 1400);
    startVm(platform, former);
    advanceTime(platform, 1500);
    return findLeader(platform)!.state.term!.token;
  });
  expect(tokens).toEqual(Array(6).fill(2));
});

// Guards against a partitioned draining worker that is assumed to have left: its registry entry is removed
// because it is silent, but its runs continue.
test('a partitioned draining worker keeps its runs', () => {
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
