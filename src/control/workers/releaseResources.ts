import type { Task } from '../plans/Task.js';
import type { Worker } from './Worker.js';

/** Releases the resources that a task holds on a worker. */
export const releaseResources = (worker: Worker, task: Task): void => {
  if (!worker.tasks.delete(task.name)) return;
  worker.allocated.cpu -= task.need.cpu;
  worker.allocated.memMb -= task.need.memMb;
  worker.allocated.gpu -= task.need.gpu;
};
