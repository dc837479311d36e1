import { addResources } from './addResources.js';
import { countStepTasks } from './countStepTasks.js';
import { getFreeResources } from './getFreeResources.js';
import { hasCapacity } from './hasCapacity.js';
import { isFitting } from './isFitting.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';
import type { Worker } from '../workers/Worker.js';

interface Candidate {
  worker: Worker;
  /** Tasks of the step that run on the worker or were assigned to it; counted only if limited. */
  stepTaskCount: number;
  freeGpu: number;
  freeCpu: number;
  freeMemMb: number;
}

const buildCandidate = (pass: PlacementPass, unit: PlacementUnit, worker: Worker): Candidate => {
  const free = getFreeResources(pass, worker);
  return {
    worker,
    stepTaskCount: unit.step.definition.maxPerWorker > 0 ? countStepTasks(unit, worker) : 0,
    freeGpu: free.gpu,
    freeCpu: free.cpu,
    freeMemMb: free.memMb,
  };
};

const compareFreeResources = (a: Candidate, b: Candidate): number =>
  a.freeGpu - b.freeGpu || a.freeCpu - b.freeCpu;

// Width of a bucket of log slowdowns; workers in the same bucket count as equally fast.
const slowdownBucketWidth = 0.25;

const computeSlowdownBucket = ({ worker }: Candidate): number =>
  Math.round(worker.logSlowdown.mean / slowdownBucketWidth);

/** Order for urgent tasks: fastest worker first, then the fullest. */
const compareFastestFirst = (a: Candidate, b: Candidate): number =>
  computeSlowdownBucket(a) - computeSlowdownBucket(b) || compareFreeResources(a, b);

// A worker more than 2.5 times slower than a typical one is considered faulty.
const faultyLogSlowdown = Math.log(2.5);

const isFaulty = ({ worker }: Candidate): boolean => worker.logSlowdown.mean > faultyLogSlowdown;

/** Order for other tasks: fullest worker first; workers reserved for urgent tasks, then faulty ones, last. */
const compareFullestFirst =
  ({ urgentWorkerIds }: PlacementPass) =>
  (a: Candidate, b: Candidate): number =>
    Number(isFaulty(a)) - Number(isFaulty(b)) ||
    Number(urgentWorkerIds.has(a.worker.id)) - Number(urgentWorkerIds.has(b.worker.id)) ||
    compareFreeResources(a, b);

/**
 * Chooses workers for up to `count` of the unit's tasks: the fastest for urgent tasks, otherwise the
 * fullest that fits (best fit), so that whole workers stay free for tasks that need many accelerators.
 * Returns fewer workers if not all tasks fit.
 */
export const chooseWorkers = (
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
  count: number,
): Worker[] => {
  const task = unit.tasks[0]!;
  const { maxPerWorker } = unit.step.definition;
  const candidates = workers
    .filter((worker) => hasCapacity(pass, worker, task.need))
    .map((worker) => buildCandidate(pass, unit, worker));
  candidates.sort(unit.plan.priority === 0 ? compareFastestFirst : compareFullestFirst(pass));
  const chosen: Worker[] = [];
  candidates.forEach((candidate) => {
    let free = { cpu: candidate.freeCpu, memMb: candidate.freeMemMb, gpu: candidate.freeGpu };
    const negatedNeed = { cpu: -task.need.cpu, memMb: -task.need.memMb, gpu: -task.need.gpu };
    while (
      chosen.length < count &&
      isFitting(task.need, free) &&
      (maxPerWorker === 0 || candidate.stepTaskCount < maxPerWorker)
    ) {
      chosen.push(candidate.worker);
      candidate.stepTaskCount += 1;
      free = addResources(free, negatedNeed);
    }
  });
  return chosen;
};
