import type { Task } from '../plans/Task.js';
import type { Worker } from './Worker.js';

/** Gives back what a task took at a worker. */
export const releaseResources = (worker: Worker, task: Task): void => {
  if (!worker.tasks.delete(task.name)) return;
  worker.allocated.cpu -= task.need.cpu;
  worker.allocated.memMb -= task.need.memMb;
  worker.allocated.gpu -= task.need.gpu;
};
