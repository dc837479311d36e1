/** State of a job; `completed`, `failed` and `cancelled` are final. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
