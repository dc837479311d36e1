/** Phase in the life cycle of a job. */
export type JobState =
  | 'queued'
  | 'preparing'
  | 'starting'
  | 'running'
  | 'checkpointing'
  | 'stopping'
  | 'finished'
  | 'failed'
  | 'cancelled';
