import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, killWorker, startWorker } from './simulation/createFakePlatform.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against a start without an answer that its worker's next incarnation carries out before the leader calls it with a
// higher token, while the task runs elsewhere. Known to fail (KNOWN-RED.txt).
test.failing('a late start runs on no restarted worker', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2, seed: 6 });
  advanceTime(platform, 3000);
  platform.lateCallsReachRestarted = true;
  const { runEffect } = platform;
  let firstId: string | null = null;
  platform.runEffect = (vm, effect) => {
    if (effect.type === 'callWorker' && effect.call.type === 'start') {
      platform.lateCallShare = effect.call.run === 1 ? 1 : 0;
      firstId ??= effect.workerId;
    } else platform.lateCallShare = 0;
    runEffect(vm, effect);
  };
  submitJob(platform, 'a', { runMs: 9000 });
  advanceTime(platform, 3030);
  killWorker(platform, firstId!);
  startWorker(platform, firstId!);
  advanceTime(platform, 6000);
  expect(findRunViolations(platform)).toEqual([]);
});
