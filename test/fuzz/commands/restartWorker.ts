import { endTask } from '../simulation/endTask.js';
import { schedule } from '../simulation/schedule.js';
import { traceStep } from '../simulation/traceStep.js';
import type { Simulation } from '../simulation/Simulation.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Stops a worker's process for a while; the next process knows neither its holder nor its work. */
export const restartWorker = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'workerRestarts' }>,
): void => {
  const workers = [...simulation.workers.values()];
  const worker = workers[command.worker % workers.length]!;
  if (worker.downUntil > simulation.now) return;
  worker.downUntil = simulation.now + command.forMs;
  worker.incarnation += 1;
  worker.activeAttempts.clear();
  worker.tasks.forEach((task) => endTask(simulation, task, 'lost'));
  worker.tasks.clear();
  worker.renewal = null;
  worker.startedAt = worker.downUntil;
  schedule(simulation, worker.downUntil, () =>
    traceStep(simulation, `worker ${worker.id}`, 'started'),
  );
};
