import { addResources } from './addResources.js';
import { countSiblings } from './countSiblings.js';
import { getFree } from './getFree.js';
import { isFitting } from './isFitting.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';
import type { Worker } from '../workers/Worker.js';

interface Room {
  worker: Worker;
  /** Tasks of the step that the worker has or was chosen for. */
  siblings: number;
  freeGpu: number;
  freeCpu: number;
  freeMemMb: number;
}

const openRoom = (pass: Pass, unit: Unit, worker: Worker): Room => {
  const free = getFree(pass, worker);
  return {
    worker,
    siblings: unit.step.step.maxPerWorker > 0 ? countSiblings(unit, worker) : 0,
    freeGpu: free.gpu,
    freeCpu: free.cpu,
    freeMemMb: free.memMb,
  };
};

/**
 * Chooses workers for a number of the unit's tasks, the fullest that fits first, so that whole
 * workers stay free for wide tasks. Returns fewer when there is no more room.
 */
export const choosePlaces = (
  pass: Pass,
  unit: Unit,
  workers: readonly Worker[],
  count: number,
): Worker[] => {
  const task = unit.tasks[0]!;
  const { maxPerWorker } = unit.step.step;
  const rooms = workers.map((worker) => openRoom(pass, unit, worker));
  rooms.sort((a, b) => a.freeGpu - b.freeGpu || a.freeCpu - b.freeCpu);
  const chosen: Worker[] = [];
  rooms.forEach((room) => {
    let free = { cpu: room.freeCpu, memMb: room.freeMemMb, gpu: room.freeGpu };
    const taken = { cpu: -task.need.cpu, memMb: -task.need.memMb, gpu: -task.need.gpu };
    while (
      chosen.length < count &&
      isFitting(task.need, free) &&
      (maxPerWorker === 0 || room.siblings < maxPerWorker)
    ) {
      chosen.push(room.worker);
      room.siblings += 1;
      free = addResources(free, taken);
    }
  });
  return chosen;
};
