import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, publishWorkerEntry } from './simulation/createFakePlatform.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against an entry that lapsed in an outage of the store, taken for the leave of a draining worker while its lease runs
// on: its runs must go on, not merely be over before they start elsewhere.
test.each([200, 250, 300, 400, 600, 900, 1200, 1500, 1700])(
  'runs of a draining worker go on after its entry lapsed in an outage (%i ms)',
  (delayMs) => {
    const platform = createFakePlatform({ vms: 3, workers: 3, maxLeaseMs: 10_000 });
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
    expect(platform.runs.map(({ kind }) => kind)).toEqual(['done', 'done', 'done']);
  },
);
