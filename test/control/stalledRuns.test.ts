import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against long tasks without a declared run time, which were taken as stalled and restarted every 4.5 s
// for ever, because their progress shows rarely.
test('a slow run is not restarted for ever', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 3_600_000, steps: [{ estimateMs: 0 }] });
  advanceTime(platform, 200_000);
  expect(platform.runs.length).toBeLessThan(6);
  expect(platform.runs.at(-1)!.startedAt).toBeLessThan(60_000);
  expect(platform.runs.at(-1)!.endedAt).toBeNull();
});
