import type { FakeRun } from './FakeRun.js';
import type { FakePlatform } from './FakePlatform.js';
import { parseCheckpointMs } from './parseCheckpointMs.js';

const checkpointIntervalMs = 500;

/** Computes the newest checkpoint of a run in progress: the task and the saved work in ms, or empty. */
export const computeCheckpoint = (platform: FakePlatform, run: FakeRun): string => {
  if (!run.savesCheckpoints) return '';
  const workedMs = run.workStartedAt === null ? 0 : platform.now - run.workStartedAt;
  const savedMs = parseCheckpointMs(run.checkpoint) + workedMs;
  const checkpointedMs = Math.floor(savedMs / checkpointIntervalMs) * checkpointIntervalMs;
  if (checkpointedMs === 0) return '';
  const checkpoint = `${run.task}@${checkpointedMs}`;
  const { checkpointPadding } = platform;
  return checkpointPadding === 0 ? checkpoint : `${checkpoint}@${'-'.repeat(checkpointPadding)}`;
};
