import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { getJobState } from './simulation/getJobState.js';
import { scheduleAfter } from './simulation/scheduleAfter.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against a job that the former leader accepted and started between the two fences of its successor, and whose
// submission the successor read only after its plans were built: its progress was dropped, its end acknowledged without
// a record, and its task ran again.
test('progress that is read before its submission is kept', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  const former = findLeader(platform)!;
  const formerIndex = platform.vms.indexOf(former);
  const successor = platform.vms[1 - formerIndex]!;
  const { runEffect } = platform;
  platform.runEffect = (vm, effect) => {
    const isLeaderAppend = effect.type === 'append' && effect.condition.type === 'fenced';
    // The store serves the former leader's appends to the runs only, and the successor's there slowly.
    if (vm === former && isLeaderAppend && effect.stream === 'journal') return;
    if (vm === successor && isLeaderAppend && effect.stream === 'runs') {
      scheduleAfter(platform, 250, () => runEffect(vm, effect));
    } else runEffect(vm, effect);
  };
  while (successor.state.term === null) advanceTime(platform, 1);
  platform.vms.forEach(({ id }) =>
    platform.store.lateReads.set(id, { stream: 'journal', delayMs: 400 }),
  );
  advanceTime(platform, 20);
  submitJob(platform, 'a', { vm: formerIndex, runMs: 200 });
  advanceTime(platform, 2000);
  platform.store.lateReads.clear();
  platform.runEffect = runEffect;
  advanceTime(platform, 4000);
  expect(platform.runs[0]?.starterId).toBe(former.id);
  expect(findRunViolations(platform)).toEqual([]);
  expect(platform.runs).toHaveLength(1);
  expect(getJobState(platform, 'a', 1 - formerIndex)).toBe('completed');
});
