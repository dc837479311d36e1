import { scheduleAfter } from './scheduleAfter.js';
import { endRun } from './endRun.js';
import type { FakeRun } from './FakeRun.js';
import { findTaskOrigin } from './findTaskOrigin.js';
import type { FakePlatform } from './FakePlatform.js';
import { advanceWorker } from './advanceWorker.js';

// A member waits this long for the others to start.
const gangTimeoutMs = 3000;

/** Begins the work of the runs; all of them end when the slowest one has completed. */
const beginWorkTogether = (platform: FakePlatform, runs: readonly FakeRun[]): void => {
  const slowestWorkMs = Math.max(...runs.map((run) => run.remainingWorkMs));
  runs.forEach((run) => {
    run.workStartedAt = platform.now;
    run.dueAt = platform.now + slowestWorkMs;
    scheduleAfter(platform, slowestWorkMs, () =>
      advanceWorker(platform, platform.workers.get(run.workerId)!),
    );
  });
};

/** Begins the work of a started run; the members of a gang begin together once all have started. */
export const beginRunWork = (platform: FakePlatform, run: FakeRun): void => {
  const origin = findTaskOrigin(platform, run.task);
  if (!origin?.step.gang) {
    beginWorkTogether(platform, [run]);
    return;
  }
  const key = `${run.task.slice(0, run.task.lastIndexOf('.'))}/${run.run}`;
  const gang = platform.gangs.get(key) ?? { size: origin.step.count, members: [], ended: false };
  platform.gangs.set(key, gang);
  run.gang = gang;
  gang.members.push(run);
  const activeMembers = gang.members.filter(({ endedAt }) => endedAt === null);
  if (activeMembers.length < gang.size) {
    scheduleAfter(platform, gangTimeoutMs, () => {
      if (run.workStartedAt === null) endRun(platform, run, 'alone');
    });
    return;
  }
  beginWorkTogether(platform, activeMembers);
};
