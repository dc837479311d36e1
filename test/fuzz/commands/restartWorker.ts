import { endTask } from '../world/endTask.js';
import { schedule } from '../world/schedule.js';
import { traceStep } from '../world/traceStep.js';
import type { World } from '../world/World.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Ends a worker's process for a while; the next one has forgotten its holder and its work. */
export const restartWorker = (
  world: World,
  command: Extract<FuzzCommand, { type: 'workerRestarts' }>,
): void => {
  const workers = [...world.workers.values()];
  const worker = workers[command.worker % workers.length]!;
  if (worker.downUntil > world.now) return;
  worker.downUntil = world.now + command.forMs;
  worker.incarnation += 1;
  worker.active.clear();
  worker.tasks.forEach((task) => endTask(world, task, 'lost'));
  worker.tasks.clear();
  worker.renewal = null;
  worker.startedAt = worker.downUntil;
  schedule(world, worker.downUntil, () => traceStep(world, `worker ${worker.id}`, 'started'));
};
