import type { JobState } from '../../core/jobs/JobState.js';

/** Describes each job state to the owner of a job. */
export const jobStateDescriptions: Readonly<Record<JobState, string>> = {
  queued: 'It waits until all its parts fit at once.',
  preparing: 'All parts are being prepared; none starts before every worker has confirmed.',
  starting: 'All parts are prepared and have been told to start.',
  running: 'All parts are running.',
  checkpointing: 'Its capacity is being reclaimed; a checkpoint is taken before it stops.',
  stopping: 'Its parts are being stopped.',
  finished: 'All parts have finished.',
  failed: 'It failed and is not started again.',
  cancelled: 'It was cancelled and all its parts have stopped.',
};
