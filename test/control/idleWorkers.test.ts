import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { submitJob } from './simulation/submitJob.js';

// Later than a placement pass, which runs every 250 ms.
const maxStartDelayMs = 300;

// Guards against a worker that counts as silent after its first start: its last listing is old by then, and the poll beside the
// start waits for an end.
test('a worker that was idle gets a second task at once', () => {
  const lateOffsets = Array.from({ length: 30 }, (_, index) => index * 100).filter((offsetMs) => {
    const platform = createFakePlatform({ vms: 1, workers: 1 });
    advanceTime(platform, 5000 + offsetMs);
    submitJob(platform, 'a', { runMs: 9000 });
    advanceTime(platform, 900);
    submitJob(platform, 'b', { runMs: 9000 });
    advanceTime(platform, maxStartDelayMs);
    return platform.runs.length < 2;
  });
  expect(lateOffsets).toEqual([]);
});
