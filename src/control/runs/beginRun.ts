import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';

/** Takes note that a worker has begun a run. */
export const beginRun = (task: Task, now: Now): void => {
  task.state = 'running';
  task.since = now.at;
  task.seenAt = now.at;
  task.percentAt = now.at;
  task.sample = { percent: 0, at: now.at, pace: null };
};
