import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';

/** Marks a task as running, with no progress yet. */
export const markRunning = (task: Task, now: Now): void => {
  task.state = 'running';
  task.stateSince = now.at;
  task.observedRunningAt = now.at;
  task.percentChangedAt = now.at;
  task.paceBaseline = { percent: 0, at: now.at, logPace: null };
};
