import type { Estimate } from './Estimate.js';
import type { PaceSample } from './PaceSample.js';
import type { Worker } from './Worker.js';

// Members of a gang have equal work; tasks of other steps differ by about a third. Both are variances of
// the logarithmic pace.
const gangNoiseVariance = 0.1 ** 2;
const singleTaskNoiseVariance = 0.35 ** 2;
// Weight of a new sample in a queue's average overrun.
const overrunSmoothing = 0.1;
// If the median pace of a worker's runs changes by this factor, the worker's own speed has changed.
const minSpeedChangeFactor = 1.7;

const updateEstimate = (estimate: Estimate, error: number, totalVariance: number): void => {
  const gain = estimate.variance / totalVariance;
  estimate.mean += gain * error;
  estimate.variance *= 1 - gain;
};

/**
 * Applies the first sample of a run: its deviation from the expected pace is attributed to the worker's
 * speed and to the step's declared time, in proportion to their variances.
 */
const applyFirstSample = (
  worker: Worker,
  { queue, step, task, logPace }: PaceSample,
  logOverrunByQueue: Map<string, number>,
): void => {
  const queueLogOverrun = logOverrunByQueue.get(queue) ?? 0;
  const isFirstOfStep = step.tasks.every(({ paceBaseline }) => paceBaseline.logPace === null);
  if (isFirstOfStep) step.logOverrun.mean = queueLogOverrun;
  const noiseVariance = step.definition.gang ? gangNoiseVariance : singleTaskNoiseVariance;
  const error = logPace - worker.logSlowdown.mean - step.logOverrun.mean;
  const totalVariance = worker.logSlowdown.variance + step.logOverrun.variance + noiseVariance;
  updateEstimate(worker.logSlowdown, error, totalVariance);
  updateEstimate(step.logOverrun, error, totalVariance);
  task.paceBaseline.logPace = logPace;
  logOverrunByQueue.set(
    queue,
    queueLogOverrun + (step.logOverrun.mean - queueLogOverrun) * overrunSmoothing,
  );
};

const findMedian = (values: number[]): number =>
  values.sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/** Shifts the estimate if later samples of the same runs show that the worker slowed down or recovered. */
const applySpeedChange = (worker: Worker, samples: readonly PaceSample[]): void => {
  const logChange = findMedian(
    samples.map(({ task, logPace }) => logPace - (task.paceBaseline.logPace ?? logPace)),
  );
  if (Math.abs(logChange) < Math.log(minSpeedChangeFactor)) return;
  worker.logSlowdown.mean += logChange;
  worker.tasks.forEach(({ paceBaseline }) => {
    if (paceBaseline.logPace !== null) paceBaseline.logPace += logChange;
  });
};

/** Updates the estimate of a worker's slowdown from the pace of its runs. */
export const updateLogSlowdown = (
  worker: Worker,
  samples: readonly PaceSample[],
  logOverrunByQueue: Map<string, number>,
): void => {
  applySpeedChange(
    worker,
    samples.filter(({ task }) => task.paceBaseline.logPace !== null),
  );
  samples
    .filter(({ task }) => task.paceBaseline.logPace === null)
    .forEach((sample) => applyFirstSample(worker, sample, logOverrunByQueue));
};
