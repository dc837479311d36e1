import { computeCheckpoint } from './computeCheckpoint.js';
import type { FakeRun } from './FakeRun.js';
import type { FakePlatform } from './FakePlatform.js';

/**
 * Ends a run on its worker and answers the polls that wait for an end. The other members of its gang end
 * too: as `done` if it is done, otherwise as `broken`.
 */
export const endRun = (platform: FakePlatform, run: FakeRun, kind: FakeRun['kind']): void => {
  if (run.endedAt !== null) return;
  const worker = platform.workers.get(run.workerId)!;
  worker.running.delete(run.task);
  run.endedAt = platform.now;
  run.kind = kind;
  run.finalCheckpoint = computeCheckpoint(platform, run);
  worker.lastEndNumber += 1;
  worker.endedRunByTask.set(run.task, Math.max(run.run, worker.endedRunByTask.get(run.task) ?? 0));
  worker.unacknowledgedEnds.push({ sequenceNumber: worker.lastEndNumber, run });
  const pendingPolls = [...worker.pendingPolls];
  worker.pendingPolls.clear();
  pendingPolls.forEach((answer) => answer());
  if (!run.gang || run.gang.ended) return;
  run.gang.ended = true;
  run.gang.members.forEach((member) =>
    endRun(platform, member, kind === 'done' ? 'done' : 'broken'),
  );
};
