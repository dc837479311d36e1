import type { Task } from '../plans/Task.js';
import type { Worker } from './Worker.js';

/** Assigns a task to a worker and reserves the resources that it needs. */
export const reserveResources = (worker: Worker, task: Task): void => {
  worker.tasks.set(task.name, task);
  worker.allocated.cpu += task.need.cpu;
  worker.allocated.memMb += task.need.memMb;
  worker.allocated.gpu += task.need.gpu;
  task.workerId = worker.id;
};
