import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { PaceSample } from './PaceSample.js';
import type { Worker } from './Worker.js';

// Progress is listed in whole percents; a smaller gain is mostly rounding error.
const minPercentGain = 4;
const minIntervalMs = 300;
const maxPercent = 100;

/** Whether the run's pace reflects the worker's speed: it runs near its data and has a declared time. */
const isInformative = (worker: Worker, { definition }: StepPlan): boolean => {
  const isNearData =
    definition.dataRack === '' || worker.entry?.labels.includes(definition.dataRack) === true;
  return isNearData && definition.estimateMs > 0 && !definition.longRunning;
};

/** Measures the pace of a run since its last sample; null if that is not informative. */
export const measurePace = (
  worker: Worker,
  { queue, step, task }: Pick<PaceSample, 'queue' | 'step' | 'task'>,
  now: Now,
): PaceSample | null => {
  const { paceBaseline } = task;
  const percentGain = task.percent - paceBaseline.percent;
  const elapsedMs = now.at - paceBaseline.at;
  // Once it shows 100 %, reported progress no longer changes, however long the run still takes.
  if (task.percent >= maxPercent || percentGain < minPercentGain || elapsedMs < minIntervalMs)
    return null;
  task.paceBaseline = { ...paceBaseline, percent: task.percent, at: now.at };
  // A resumed run first restores its checkpoint, which takes time without showing progress.
  if (!isInformative(worker, step) || (paceBaseline.percent === 0 && task.checkpoint !== ''))
    return null;
  const declaredMs = (percentGain / maxPercent) * step.definition.estimateMs;
  return { queue, step, task, logPace: Math.log(elapsedMs / declaredMs) };
};
