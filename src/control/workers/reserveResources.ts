import type { Task } from '../plans/Task.js';
import type { Worker } from './Worker.js';

/** Counts a task's need at a worker. */
export const reserveResources = (worker: Worker, task: Task): void => {
  worker.tasks.set(task.name, task);
  worker.allocated.cpu += task.need.cpu;
  worker.allocated.memMb += task.need.memMb;
  worker.allocated.gpu += task.need.gpu;
  task.workerId = worker.id;
};
