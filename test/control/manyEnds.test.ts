import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, killVm } from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { findUpVmIndex } from './simulation/findUpVmIndex.js';
import { getJobState } from './simulation/getJobState.js';
import { submitJob } from './simulation/submitJob.js';

const smallNeed = { cpu: 50, memMb: 10, gpu: 0 };

// Guards against run ends beyond those that one listing holds, which were taken for lost runs: their tasks ran twice.
test('ends that a listing leaves out are no lost runs', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 2000, steps: [{ count: 300, need: smallNeed }] });
  submitJob(platform, 'b', { runMs: 3000, steps: [{ count: 300, need: smallNeed }] });
  advanceTime(platform, 1000);
  // Ends that can't be written are not acknowledged.
  platform.store.unresponsive = true;
  advanceTime(platform, 4500);
  platform.store.unresponsive = false;
  advanceTime(platform, 8000);
  expect(platform.logs.filter(({ fields }) => fields.cause === 'not-listed')).toHaveLength(0);
  expect(platform.runs).toHaveLength(600);
  expect(['a', 'b'].map((id) => getJobState(platform, id))).toEqual(['completed', 'completed']);
});

// Guards against a new leader that takes the same ends for runs that were lost before its term.
test('ends that a listing leaves out are no lost runs for a new leader', () => {
  const platform = createFakePlatform({ vms: 2, workers: 1 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 2000, steps: [{ count: 600, need: smallNeed }] });
  advanceTime(platform, 1500);
  killVm(findLeader(platform)!);
  advanceTime(platform, 9000);
  expect(platform.runs).toHaveLength(600);
  expect(getJobState(platform, 'a', findUpVmIndex(platform))).toBe('completed');
});
