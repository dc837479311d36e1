import type { JobState } from '../jobs/JobState.js';

const endedStates: readonly JobState[] = ['completed', 'failed', 'cancelled'];

/** Whether the state is final. */
export const isJobEnded = (state: JobState): boolean => endedStates.includes(state);
