import type { Task } from '../plans/Task.js';
import type { Worker } from './Worker.js';

/** Gives back what a task took at a worker. */
export const freeTask = (worker: Worker, task: Task): void => {
  if (!worker.tasks.delete(task.name)) return;
  worker.used.cpu -= task.need.cpu;
  worker.used.memMb -= task.need.memMb;
  worker.used.gpu -= task.need.gpu;
};
