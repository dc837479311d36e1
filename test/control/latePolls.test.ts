import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, killWorker, startWorker } from './simulation/createFakePlatform.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { scheduleAfter } from './simulation/scheduleAfter.js';
import { submitJob } from './simulation/submitJob.js';

const lateMs = 4000;

// Guards against an acknowledgement that reaches the worker's next incarnation late: it forgot ends that nobody had read,
// and their tasks ran again.
test('a late acknowledgement makes a restarted worker forget no ends', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  const { runEffect } = platform;
  let arrivesAt = 0;
  platform.runEffect = (vm, effect) => {
    const poll = effect.type === 'callWorker' && effect.call.type === 'poll' ? effect : null;
    if (arrivesAt > 0 || poll?.call.type !== 'poll' || poll.call.acknowledgedEnd < 4) {
      runEffect(vm, effect);
      return;
    }
    arrivesAt = platform.now + lateMs;
    const { workerId, token, call, timeoutMs } = poll;
    const sentAt = platform.now;
    scheduleAfter(platform, timeoutMs, () => {
      const answer = { type: 'unanswered' } as const;
      platform.push(vm, { type: 'workerAnswered', workerId, token, call, sentAt, answer });
    });
    // Its answer reaches nobody.
    scheduleAfter(platform, lateMs, () => runEffect({ ...vm, up: false }, effect));
  };
  submitJob(platform, 'a', { runMs: 300, steps: [{ count: 4 }] });
  advanceTime(platform, 400);
  killWorker(platform, 'w0');
  startWorker(platform, 'w0');
  advanceTime(platform, arrivesAt - platform.now - 350);
  // The end of the first is listed at once, but while the leader is suspended, it doesn't ask for the others.
  submitJob(platform, 'b', { runMs: 250 });
  submitJob(platform, 'c', { runMs: 300, steps: [{ count: 3 }] });
  advanceTime(platform, 230);
  platform.vms[0]!.pausedUntil = platform.now + 400;
  advanceTime(platform, 5000);
  expect(findRunViolations(platform)).toEqual([]);
  expect(platform.runs).toHaveLength(8);
});
