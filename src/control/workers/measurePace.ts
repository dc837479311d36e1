import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { PaceSample } from './PaceSample.js';
import type { Worker } from './Worker.js';

// Progress is listed in whole percents; a smaller gain is mostly rounding error.
const minPercentGain = 4;
const minIntervalMs = 300;
const maxPercent = 100;

/** Whether the run's pace reflects the worker's speed: it runs near its data and has a declared time. */
const isInformative = (worker: Worker, { step }: StepPlan): boolean => {
  const isNearData = step.dataRack === '' || worker.entry?.labels.includes(step.dataRack) === true;
  return isNearData && step.estimateMs > 0 && !step.longRunning;
};

/** Measures the pace of a run since its last sample; null if that is not informative. */
export const measurePace = (
  worker: Worker,
  { queue, step, task }: Pick<PaceSample, 'queue' | 'step' | 'task'>,
  now: Now,
): PaceSample | null => {
  const { paceSample: sample } = task;
  const percentGain = task.percent - sample.percent;
  const elapsedMs = now.at - sample.at;
  // Once it shows 100 %, reported progress no longer changes, however long the run still takes.
  if (task.percent >= maxPercent || percentGain < minPercentGain || elapsedMs < minIntervalMs)
    return null;
  task.paceSample = { ...sample, percent: task.percent, at: now.at };
  // A resumed run first restores its checkpoint, which takes time without showing progress.
  if (!isInformative(worker, step) || (sample.percent === 0 && task.checkpoint !== '')) return null;
  const declaredMs = (percentGain / maxPercent) * step.step.estimateMs;
  return { queue, step, task, pace: Math.log(elapsedMs / declaredMs) };
};
