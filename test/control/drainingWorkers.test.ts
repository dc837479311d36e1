import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import {
  createFakePlatform,
  killVm,
  killWorker,
  publishWorkerEntry,
} from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { submitJob } from './simulation/submitJob.js';

const outageDelays = [200, 250, 300, 400, 600, 900, 1200, 1500, 1700];

/**
 * Plays a job on a draining worker whose entry lapses in an outage of the store, which ends after the given time, while the
 * leader loses the worker until some time after the store's return.
 */
const playLapse = (platform: FakePlatform, delayMs: number): void => {
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 20_000, steps: [{ count: 3 }] });
  advanceTime(platform, 500);
  const { workerId } = platform.runs[0]!;
  const worker = platform.workers.get(workerId)!;
  publishWorkerEntry(platform, workerId, 'draining');
  advanceTime(platform, 500);
  platform.store.refusing = true;
  advanceTime(platform, 4000);
  publishWorkerEntry(platform, workerId, 'gone');
  worker.partitioned = true;
  advanceTime(platform, delayMs);
  platform.store.refusing = false;
  advanceTime(platform, 1600);
  worker.partitioned = false;
  publishWorkerEntry(platform, workerId, 'draining');
  advanceTime(platform, 30_000);
};

// Guards against the removal of a registry entry that lapsed while the store was away, taken for the leave of a draining
// worker: its runs were started elsewhere while it worked on.
test.each(outageDelays)(
  'tasks of a draining worker run once when its entry lapses in an outage (%i ms)',
  (delayMs) => {
    const platform = createFakePlatform({ vms: 3, workers: 3 });
    playLapse(platform, delayMs);
    expect(findRunViolations(platform)).toEqual([]);
  },
);

// Guards against the same while the worker's lease runs on: its runs must go on, not merely be over before they start
// elsewhere.
test.each(outageDelays)(
  'runs of a draining worker go on after its entry lapsed in an outage (%i ms)',
  (delayMs) => {
    const platform = createFakePlatform({ vms: 3, workers: 3, maxLeaseMs: 10_000 });
    playLapse(platform, delayMs);
    expect(platform.runs.map(({ kind }) => kind)).toEqual(['done', 'done', 'done']);
  },
);

// Guards against the same without an outage: a worker that the store loses sight of answers the leader until its entry is
// about to be removed.
test.each([500, 1000, 1500])(
  'a draining worker that loses the store, then the leader, keeps its runs (%i ms)',
  (silentMs) => {
    const platform = createFakePlatform({ vms: 1, workers: 2, maxLeaseMs: 10_000 });
    advanceTime(platform, 3000);
    submitJob(platform, 'a', { runMs: 20_000, steps: [{ count: 2 }] });
    advanceTime(platform, 500);
    const { workerId } = platform.runs[0]!;
    const worker = platform.workers.get(workerId)!;
    publishWorkerEntry(platform, workerId, 'draining');
    advanceTime(platform, 4500 - silentMs);
    worker.partitioned = true;
    advanceTime(platform, silentMs);
    publishWorkerEntry(platform, workerId, 'gone');
    advanceTime(platform, 2000);
    worker.partitioned = false;
    advanceTime(platform, 30_000);
    expect(findRunViolations(platform)).toEqual([]);
  },
);

// Guards against short leases of draining workers that expire before a new leader renews them.
test.each([1, 2, 3, 4, 5, 6])('runs of a draining worker outlast a failover (seed %i)', (seed) => {
  const platform = createFakePlatform({ vms: 3, workers: 2, seed });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 14_000, steps: [{ count: 2 }] });
  advanceTime(platform, 500);
  publishWorkerEntry(platform, platform.runs[0]!.workerId, 'draining');
  advanceTime(platform, 7000 + 100 * seed);
  killVm(findLeader(platform)!);
  advanceTime(platform, 12_000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done', 'done']);
});

// Guards against short leases of draining workers that expire in an outage of the store that other leases outlast.
test.each([4000, 5000, 6000])(
  'runs of a draining worker outlast an outage of the store (%i ms)',
  (outageMs) => {
    const platform = createFakePlatform({ vms: 1, workers: 2, maxLeaseMs: 10_000 });
    advanceTime(platform, 3000);
    submitJob(platform, 'a', { runMs: 20_000, steps: [{ count: 2 }] });
    advanceTime(platform, 500);
    publishWorkerEntry(platform, platform.runs[0]!.workerId, 'draining');
    advanceTime(platform, 9000);
    platform.store.refusing = true;
    advanceTime(platform, outageMs);
    platform.store.refusing = false;
    advanceTime(platform, 14_000);
    expect(platform.runs.map(({ kind }) => kind)).toEqual(['done', 'done']);
  },
);

// Guards against leases that are renewed up to the leave: the last long one, granted before the drain, bounds the wait.
test('tasks of a worker that drained briefly wait for its last long lease at most', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 20_000 });
  advanceTime(platform, 500);
  const { workerId } = platform.runs[0]!;
  publishWorkerEntry(platform, workerId, 'draining');
  advanceTime(platform, 2000);
  killWorker(platform, workerId);
  publishWorkerEntry(platform, workerId, 'gone');
  advanceTime(platform, 4700);
  expect(platform.runs).toHaveLength(2);
  expect(findRunViolations(platform)).toEqual([]);
});
