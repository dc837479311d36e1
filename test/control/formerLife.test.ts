import { expect, test } from '@jest/globals';
import type { Effect } from '../../src/control/Effect.js';
import { advanceTime } from './simulation/advanceTime.js';
import {
  createFakePlatform,
  killWorker,
  publishWorkerEntry,
  startWorker,
} from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { submitJob } from './simulation/submitJob.js';

const isRenewal = (effect: Effect): boolean =>
  effect.type === 'callWorker' && effect.call.type === 'poll' && effect.call.expiresAt !== null;

/** Runs a job for a while and returns the last call that renewed the lease of its worker. */
const recordRenewal = (platform: FakePlatform): Effect => {
  const { runEffect } = platform;
  const renewals: Effect[] = [];
  platform.runEffect = (vm, effect) => {
    if (isRenewal(effect)) renewals.push(effect);
    runEffect(vm, effect);
  };
  submitJob(platform, 'b', { runMs: 1000 });
  advanceTime(platform, 2000);
  platform.runEffect = runEffect;
  return renewals.at(-1)!;
};

// Guards against a lease that a late call of the worker's former life renews, and that the leader takes as over: the time in
// such a call is on the former clock, so only the longest lease bounds it.
test.each(['ready', 'draining'] as const)(
  'a late call of a former life renews no lease of a %s worker',
  (state) => {
    const platform = createFakePlatform({ vms: 1, workers: 1 });
    advanceTime(platform, 28_000);
    const renewal = recordRenewal(platform);
    killWorker(platform, 'w0');
    startWorker(platform, 'w0');
    advanceTime(platform, 700);
    submitJob(platform, 'a', { runMs: 30_000 });
    advanceTime(platform, 200);
    startWorker(platform, 'w1');
    publishWorkerEntry(platform, 'w0', state);
    advanceTime(platform, 1100);
    // It arrives only now, and its answer reaches nobody.
    platform.runEffect({ ...platform.vms[0]!, up: false }, renewal);
    advanceTime(platform, 100);
    platform.workers.get('w0')!.partitioned = true;
    advanceTime(platform, 20_000);
    expect(findRunViolations(platform)).toEqual([]);
  },
);
