import { endTask } from './endTask.js';
import type { FakeTask } from './FakeTask.js';
import { schedule } from './schedule.js';
import type { World } from './World.js';

/** Stops a task by itself when its lease has ended. */
export const watchTaskLease = (world: World, task: FakeTask): void => {
  schedule(world, task.leaseUntil, () => {
    if (task.ended) return;
    if (task.leaseUntil <= world.now) endTask(world, task, 'stopped');
    else watchTaskLease(world, task);
  });
};
