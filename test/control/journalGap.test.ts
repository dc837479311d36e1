import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, killVm } from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against a VM that missed both the end and the drop of a job, because its position in the journal expired while it
// was cut off from the store: when it leads, it starts the job again.
test('a job that was dropped while a VM was away does not run again', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000 });
  advanceTime(platform, 1500);
  const leader = findLeader(platform)!;
  const other = platform.vms.find((vm) => vm !== leader)!;
  other.partitionedFromStore = true;
  advanceTime(platform, 200_000);
  platform.store.expiredReaderIds.add(other.id);
  other.partitionedFromStore = false;
  advanceTime(platform, 5000);
  killVm(leader);
  advanceTime(platform, 15_000);
  expect(findRunViolations(platform)).toEqual([]);
});
