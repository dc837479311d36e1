import { after } from './after.js';
import { endRun } from './endRun.js';
import type { FakeRun } from './FakeRun.js';
import { findStep } from './findStep.js';
import type { Office } from './Office.js';
import { settleWorker } from './settleWorker.js';

// How long a member waits for the others.
const gangTimeoutMs = 3000;

/** Begins the work of runs that end together, with the slowest of them. */
const beginWork = (office: Office, runs: readonly FakeRun[]): void => {
  const workMs = Math.max(...runs.map((run) => run.workMs));
  runs.forEach((run) => {
    run.beganAt = office.now;
    run.dueAt = office.now + workMs;
    after(office, workMs, () => settleWorker(office, office.workers.get(run.workerId)!));
  });
};

/** Begins the work of a run that has just started: with the last member of a gang that of them all. */
export const beginGang = (office: Office, run: FakeRun): void => {
  const origin = findStep(office, run.task);
  if (!origin?.step.gang) {
    beginWork(office, [run]);
    return;
  }
  const key = `${run.task.slice(0, run.task.lastIndexOf('.'))}/${run.run}`;
  const gang = office.gangs.get(key) ?? { size: origin.step.count, members: [], over: false };
  office.gangs.set(key, gang);
  run.gang = gang;
  gang.members.push(run);
  const alive = gang.members.filter(({ endedAt }) => endedAt === null);
  if (alive.length < gang.size) {
    after(office, gangTimeoutMs, () => {
      if (run.beganAt === null) endRun(office, run, 'alone');
    });
    return;
  }
  beginWork(office, alive);
};
