import type { Progress } from '../jobs/Progress.js';
import type { State } from '../State.js';
import { getJob } from './getJob.js';

/** Replaces a job's progress by a newer one. */
export const applyProgress = (
  state: State,
  id: string,
  progress: Progress,
  offset: number,
): void => {
  const job = getJob(state, id);
  if (offset <= job.progressOffset) return;
  job.progress = progress;
  job.progressOffset = offset;
};
