import type { FakeRun } from './FakeRun.js';
import type { Office } from './Office.js';
import { readSavedMs } from './readSavedMs.js';

const checkpointEveryMs = 500;

/** The newest checkpoint of a run that has gone on until now. */
export const computeCheckpoint = (office: Office, run: FakeRun): string => {
  if (!run.saves) return '';
  const workedMs = run.beganAt === null ? 0 : office.now - run.beganAt;
  const savedMs = readSavedMs(run.checkpoint) + workedMs;
  const wholeMs = Math.floor(savedMs / checkpointEveryMs) * checkpointEveryMs;
  return wholeMs === 0 ? '' : `${run.task}@${wholeMs}`;
};
