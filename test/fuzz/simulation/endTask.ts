import type { FakeTask } from './FakeTask.js';
import type { TaskRun } from './TaskRun.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';

/** Ends a task on its worker; a task that was only prepared has no run to end. */
export const endTask = (
  simulation: Simulation,
  task: FakeTask,
  end: Exclude<TaskRun['end'], null>,
): void => {
  if (task.ended) return;
  task.ended = true;
  task.endedAt = simulation.now;
  task.state = end;
  if (task.startedAt !== null) task.ranMs = simulation.now - task.startedAt;
  if (task.run) Object.assign(task.run, { endedAt: simulation.now, end });
  traceStep(simulation, `task ${task.taskId}`, end);
};
