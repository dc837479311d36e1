import type { JobProgress } from '../jobs/JobProgress.js';

/** Whether stored progress shows that a task was begun; a recorded start alone may have been refused. */
export const hasBegunTask = ({ tasks, openOccurrences, nextOccurrence }: JobProgress): boolean =>
  openOccurrences.length < nextOccurrence ||
  tasks.some(
    ({ state, failures, checkpoint }) => state === 'done' || failures > 0 || checkpoint !== '',
  );
