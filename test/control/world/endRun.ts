import { computeCheckpoint } from './computeCheckpoint.js';
import type { FakeRun } from './FakeRun.js';
import type { Office } from './Office.js';

/**
 * Ends a run at its worker; looks that wait there are answered. The other members of its gang end with
 * it: done together, or broken off.
 */
export const endRun = (office: Office, run: FakeRun, kind: FakeRun['kind']): void => {
  if (run.endedAt !== null) return;
  const worker = office.workers.get(run.workerId)!;
  worker.running.delete(run.task);
  run.endedAt = office.now;
  run.kind = kind;
  run.endCheckpoint = computeCheckpoint(office, run);
  worker.lastEnd += 1;
  worker.over.set(run.task, Math.max(run.run, worker.over.get(run.task) ?? 0));
  worker.ended.push({ number: worker.lastEnd, run });
  const waiters = [...worker.waiters];
  worker.waiters.clear();
  waiters.forEach((answer) => answer());
  if (!run.gang || run.gang.over) return;
  run.gang.over = true;
  run.gang.members.forEach((member) => endRun(office, member, kind === 'done' ? 'done' : 'broken'));
};
