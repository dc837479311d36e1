import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, killVm } from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { findUpVmIndex } from './simulation/findUpVmIndex.js';
import { getJobState } from './simulation/getJobState.js';
import { publishConfig } from './simulation/publishConfig.js';
import { submitJob } from './simulation/submitJob.js';

const failFirstRun = (platform: FakePlatform): void => {
  const worker = platform.workers.get('w0')!;
  worker.failing = true;
  advanceTime(platform, 2500);
  worker.failing = false;
  advanceTime(platform, 12_000);
};

const listRunKinds = ({ runs }: FakePlatform) => runs.map(({ kind }) => kind);

// Guards against a job on a queue that the leader has not read yet, which failed after one of three attempts.
test('a job keeps its attempts though the leader lacks its queue', () => {
  const platform = createFakePlatform({ vms: 2, workers: 1 });
  advanceTime(platform, 3000);
  const leader = findLeader(platform)!;
  const other = platform.vms.findIndex((vm) => vm !== leader);
  // The leader's read of the configuration is never answered.
  leader.state.streams.config.pendingReadId = -1;
  publishConfig(platform, 2);
  advanceTime(platform, 100);
  submitJob(platform, 'a', { vm: other, queue: 'x', runMs: 2000 });
  failFirstRun(platform);
  expect(listRunKinds(platform)).toEqual(['failed', 'done']);
  expect(getJobState(platform, 'a', other)).toBe('completed');
});

// Guards against the same for a queue that was removed before another VM became the leader.
test('a job keeps its attempts though its queue was removed', () => {
  const platform = createFakePlatform({ vms: 2, workers: 1 });
  publishConfig(platform, 2);
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { queue: 'x', runMs: 4000 });
  advanceTime(platform, 500);
  publishConfig(platform, 3);
  advanceTime(platform, 500);
  killVm(findLeader(platform)!);
  advanceTime(platform, 2000);
  failFirstRun(platform);
  expect(listRunKinds(platform)).toEqual(['failed', 'done']);
  expect(getJobState(platform, 'a', findUpVmIndex(platform))).toBe('completed');
});
