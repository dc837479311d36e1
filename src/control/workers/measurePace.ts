import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { PaceSample } from './PaceSample.js';
import type { Worker } from './Worker.js';

// Progress is listed in whole percents: less than this is mostly rounding.
const leastPercent = 4;
const leastMs = 300;
const fullPercent = 100;

/** Whether the run's pace tells about the worker: near its data, and with a declared time. */
const isTelling = (worker: Worker, { step }: StepPlan): boolean => {
  const near = step.dataRack === '' || worker.entry?.labels.includes(step.dataRack) === true;
  return near && step.estimateMs > 0 && !step.longRunning;
};

/** Measures how fast a run moved on since its last sample; null if that tells too little yet. */
export const measurePace = (
  worker: Worker,
  { queue, step, task }: Pick<PaceSample, 'queue' | 'step' | 'task'>,
  now: Now,
): PaceSample | null => {
  const { sample } = task;
  const moved = task.percent - sample.percent;
  const passedMs = now.at - sample.at;
  // A full figure stays full, however long the run still takes.
  if (task.percent >= fullPercent || moved < leastPercent || passedMs < leastMs) return null;
  task.sample = { ...sample, percent: task.percent, at: now.at };
  // A resumed run first restores its state, which takes time and shows no progress.
  if (!isTelling(worker, step) || (sample.percent === 0 && task.checkpoint !== '')) return null;
  const declaredMs = (moved / fullPercent) * step.step.estimateMs;
  return { queue, step, task, pace: Math.log(passedMs / declaredMs) };
};
