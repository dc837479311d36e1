import { endTask } from './endTask.js';
import type { FakeTask } from './FakeTask.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';

/** Stops a task when its lease has expired. */
export const scheduleTaskLeaseExpiry = (simulation: Simulation, task: FakeTask): void => {
  schedule(simulation, task.leaseExpiresAt, () => {
    if (task.ended) return;
    if (task.leaseExpiresAt <= simulation.now) endTask(simulation, task, 'stopped');
    else scheduleTaskLeaseExpiry(simulation, task);
  });
};
