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

const compareRoom = (a: Room, b: Room): number => a.freeGpu - b.freeGpu || a.freeCpu - b.freeCpu;

// Workers whose speeds differ by less than this factor's logarithm count as equally fast.
const speedStep = 0.25;

const computeSpeedStep = ({ worker }: Room): number => Math.round(worker.slowness.mean / speedStep);

/** Urgent work goes to the fastest, then to the fullest. */
const compareSpeed = (a: Room, b: Room): number =>
  computeSpeedStep(a) - computeSpeedStep(b) || compareRoom(a, b);

// Workers that are slower than a usual one by this factor's logarithm have a fault.
const faultySlowness = Math.log(2.5);

const isFaulty = ({ worker }: Room): boolean => worker.slowness.mean > faultySlowness;

/** Other work goes to the fullest, and last to what is kept for urgent work or has turned slow. */
const compareFill =
  ({ kept }: Pass) =>
  (a: Room, b: Room): number =>
    Number(isFaulty(a)) - Number(isFaulty(b)) ||
    Number(kept.has(a.worker.id)) - Number(kept.has(b.worker.id)) ||
    compareRoom(a, b);

/**
 * Chooses workers for a number of the unit's tasks, urgent ones on the fastest, others
 * on the fullest that fits, so that whole workers stay free for wide tasks. Returns fewer when there is no more room.
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
  rooms.sort(unit.plan.priority === 0 ? compareSpeed : compareFill(pass));
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
