import type { FakeTask } from './FakeTask.js';
import type { TaskRun } from './TaskRun.js';
import { traceStep } from './traceStep.js';
import type { World } from './World.js';

/** Ends a task on its worker; a task that was only prepared has not run. */
export const endTask = (world: World, task: FakeTask, end: Exclude<TaskRun['end'], null>): void => {
  if (task.ended) return;
  task.ended = true;
  task.endedAt = world.now;
  task.state = end;
  if (task.startedAt !== null) task.ranMs = world.now - task.startedAt;
  if (task.run) Object.assign(task.run, { endedAt: world.now, end });
  traceStep(world, `task ${task.taskId}`, end);
};
