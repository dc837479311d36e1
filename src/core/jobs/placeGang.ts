import { groupBy } from '../groupBy.js';
import type { Adjacency } from '../settings/Adjacency.js';
import type { JobSpec } from './JobSpec.js';
import type { WorkerCapacity } from './WorkerCapacity.js';

type Shape = Pick<JobSpec, 'tasks' | 'acceleratorsPerTask' | 'adjacency'>;
type Placer = (workers: WorkerCapacity[], shape: Shape) => string[] | null;

const countCapacity = (workers: WorkerCapacity[]): number =>
  workers.reduce((sum, worker) => sum + worker.capacity, 0);

const countTasks = (workers: WorkerCapacity[], shape: Shape): number =>
  workers.reduce((sum, worker) => sum + Math.floor(worker.capacity / shape.acceleratorsPerTask), 0);

const orderByCapacity = (a: WorkerCapacity, b: WorkerCapacity): number =>
  a.capacity - b.capacity || (a.workerId < b.workerId ? -1 : 1);

const assignParts = (workers: WorkerCapacity[], shape: Shape): string[] =>
  workers
    .flatMap((worker) =>
      new Array<string>(Math.floor(worker.capacity / shape.acceleratorsPerTask)).fill(
        worker.workerId,
      ),
    )
    .slice(0, shape.tasks);

const placeOnWorker: Placer = (workers, shape) => {
  const [tightest] = workers
    .filter((worker) => countTasks([worker], shape) >= shape.tasks)
    .sort(orderByCapacity);
  return tightest ? assignParts([tightest], shape) : null;
};

const placeInRack: Placer = (workers, shape) => {
  const [tightest] = [...groupBy(workers, (worker) => worker.rack)]
    .filter(([, rack]) => countTasks(rack, shape) >= shape.tasks)
    .sort(
      ([nameA, a], [nameB, b]) => countCapacity(a) - countCapacity(b) || (nameA < nameB ? -1 : 1),
    );
  return tightest ? assignParts(tightest[1].sort(orderByCapacity), shape) : null;
};

// Racks and workers with little capacity are filled first, to keep whole ones free for large gangs.
const placeInZone: Placer = (workers, shape) => {
  if (countTasks(workers, shape) < shape.tasks) return null;
  const racks = [...groupBy(workers, (worker) => worker.rack).values()].sort(
    (a, b) => countCapacity(a) - countCapacity(b),
  );
  return assignParts(
    racks.flatMap((rack) => rack.sort(orderByCapacity)),
    shape,
  );
};

const placers: Record<Adjacency, Placer[]> = {
  worker: [placeOnWorker],
  rack: [placeOnWorker, placeInRack],
  zone: [placeOnWorker, placeInRack, placeInZone],
};

/**
 * Chooses a worker for each part by best fit: the worker, or else the rack, with the least capacity
 * that can hold the gang; null when the gang does not fit. Cost: O(workers log workers).
 */
export const placeGang = (workers: WorkerCapacity[], shape: Shape): string[] | null => {
  const fitting = workers.filter((worker) => worker.capacity >= shape.acceleratorsPerTask);
  for (const place of placers[shape.adjacency]) {
    const placement = place(fitting, shape);
    if (placement) return placement;
  }
  return null;
};
