import type { JobState } from '../jobs/JobState.js';

const endedStates: readonly JobState[] = ['completed', 'failed', 'cancelled'];

/** Whether a job has reached its last state. */
export const isJobEnded = (state: JobState): boolean => endedStates.includes(state);
