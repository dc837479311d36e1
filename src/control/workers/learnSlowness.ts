import type { Estimate } from './Estimate.js';
import type { PaceSample } from './PaceSample.js';
import type { Worker } from './Worker.js';

// Members of a gang have equal work; tasks of other steps differ by about a third.
const gangNoise = 0.1 ** 2;
const singleNoise = 0.35 ** 2;
// Weight of a new sample in what is usual for a queue.
const overrunWeight = 0.1;
// A worker whose runs all change their pace by this factor has changed its own speed.
const shiftFactor = 1.7;

const updateEstimate = (estimate: Estimate, error: number, total: number): void => {
  const gain = estimate.variance / total;
  estimate.mean += gain * error;
  estimate.variance *= 1 - gain;
};

/** Splits the surprise of a first sample between the worker's speed and the step's declared time. */
const learnFirst = (
  worker: Worker,
  { queue, step, task, pace }: PaceSample,
  overruns: Map<string, number>,
): void => {
  const usual = overruns.get(queue) ?? 0;
  const isFirstOfStep = step.tasks.every(({ sample }) => sample.pace === null);
  if (isFirstOfStep) step.overrun.mean = usual;
  const noise = step.step.gang ? gangNoise : singleNoise;
  const error = pace - worker.slowness.mean - step.overrun.mean;
  const total = worker.slowness.variance + step.overrun.variance + noise;
  updateEstimate(worker.slowness, error, total);
  updateEstimate(step.overrun, error, total);
  task.sample.pace = pace;
  overruns.set(queue, usual + (step.overrun.mean - usual) * overrunWeight);
};

const findMedian = (values: number[]): number =>
  values.sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/** Follows a worker that turned slow, or is itself again, by runs that were sampled before. */
const noteShift = (worker: Worker, samples: readonly PaceSample[]): void => {
  const shift = findMedian(samples.map(({ task, pace }) => pace - (task.sample.pace ?? pace)));
  if (Math.abs(shift) < Math.log(shiftFactor)) return;
  worker.slowness.mean += shift;
  worker.tasks.forEach(({ sample }) => {
    if (sample.pace !== null) sample.pace += shift;
  });
};

/** Learns how fast a worker is from the pace of its runs. */
export const learnSlowness = (
  worker: Worker,
  samples: readonly PaceSample[],
  overruns: Map<string, number>,
): void => {
  noteShift(
    worker,
    samples.filter(({ task }) => task.sample.pace !== null),
  );
  samples
    .filter(({ task }) => task.sample.pace === null)
    .forEach((sample) => learnFirst(worker, sample, overruns));
};
