import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { cutZone } from './simulation/cutZone.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against a leader in a zone that is cut off, which renews the leases of the workers there beyond the time
// after which its successor takes them as expired: the same tasks ran in both parts.
test('a leader that is cut off stops renewing leases', () => {
  const platform = createFakePlatform({ vms: 2, workers: 3 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 20_000 });
  advanceTime(platform, 1000);
  cutZone(platform, [findLeader(platform)!.id, platform.runs[0]!.workerId], 13_000);
  advanceTime(platform, 40_000);
  expect(findRunViolations(platform)).toEqual([]);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['lapsed', 'done']);
});
