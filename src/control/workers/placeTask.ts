import type { Task } from '../plans/Task.js';
import type { Worker } from './Worker.js';

/** Counts a task's need at a worker. */
export const placeTask = (worker: Worker, task: Task): void => {
  worker.tasks.set(task.name, task);
  worker.used.cpu += task.need.cpu;
  worker.used.memMb += task.need.memMb;
  worker.used.gpu += task.need.gpu;
  task.workerId = worker.id;
};
