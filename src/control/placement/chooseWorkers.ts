import { addResources } from './addResources.js';
import { countStepTasks } from './countStepTasks.js';
import { getFreeResources } from './getFreeResources.js';
import { isFitting } from './isFitting.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';
import type { Worker } from '../workers/Worker.js';

interface Candidate {
  worker: Worker;
  /** Tasks of the step that the worker has or was chosen for. */
  stepTaskCount: number;
  freeGpu: number;
  freeCpu: number;
  freeMemMb: number;
}

const buildCandidate = (pass: PlacementPass, unit: PlacementUnit, worker: Worker): Candidate => {
  const free = getFreeResources(pass, worker);
  return {
    worker,
    stepTaskCount: unit.step.step.maxPerWorker > 0 ? countStepTasks(unit, worker) : 0,
    freeGpu: free.gpu,
    freeCpu: free.cpu,
    freeMemMb: free.memMb,
  };
};

const compareFreeResources = (a: Candidate, b: Candidate): number =>
  a.freeGpu - b.freeGpu || a.freeCpu - b.freeCpu;

// Workers whose speeds differ by less than this factor's logarithm count as equally fast.
const slownessBucketWidth = 0.25;

const computeSlownessBucket = ({ worker }: Candidate): number =>
  Math.round(worker.logSlowdown.mean / slownessBucketWidth);

/** Urgent work goes to the fastest, then to the fullest. */
const compareFastestFirst = (a: Candidate, b: Candidate): number =>
  computeSlownessBucket(a) - computeSlownessBucket(b) || compareFreeResources(a, b);

// Workers that are slower than a usual one by this factor's logarithm have a fault.
const faultySlowness = Math.log(2.5);

const isFaulty = ({ worker }: Candidate): boolean => worker.logSlowdown.mean > faultySlowness;

/** Other work goes to the fullest, and last to what is kept for urgent work or has turned slow. */
const compareFullestFirst =
  ({ urgentWorkerIds: kept }: PlacementPass) =>
  (a: Candidate, b: Candidate): number =>
    Number(isFaulty(a)) - Number(isFaulty(b)) ||
    Number(kept.has(a.worker.id)) - Number(kept.has(b.worker.id)) ||
    compareFreeResources(a, b);

/**
 * Chooses workers for a number of the unit's tasks, urgent ones on the fastest, others
 * on the fullest that fits, so that whole workers stay free for wide tasks. Returns fewer when there is no more room.
 */
export const chooseWorkers = (
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
  count: number,
): Worker[] => {
  const task = unit.tasks[0]!;
  const { maxPerWorker } = unit.step.step;
  const candidates = workers.map((worker) => buildCandidate(pass, unit, worker));
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
