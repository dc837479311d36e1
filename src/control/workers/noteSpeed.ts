import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Worker } from './Worker.js';

// Weight of a new run: declared times are far off, and a worker's speed may change.
const newWeight = 0.25;
// Keeps one extreme run from deciding.
const mostSlowness = 1.5;

/** Whether the run time tells about the worker: whole, near its data, and with a declared time. */
const isTelling = (step: StepPlan, task: Task, worker: Worker): boolean => {
  const { dataRack, estimateMs, longRunning } = step.step;
  const near = dataRack === '' || worker.entry?.labels.includes(dataRack) === true;
  return near && estimateMs > 0 && !longRunning && task.checkpoint === '';
};

/** Learns how fast a worker is from a run that is done. */
export const noteSpeed = (worker: Worker, step: StepPlan, task: Task, now: Now): void => {
  if (!isTelling(step, task, worker)) return;
  const ranMs = Math.max(1, now.at - task.since);
  const slowness = Math.log(ranMs / step.step.estimateMs);
  const bounded = Math.max(-mostSlowness, Math.min(mostSlowness, slowness));
  worker.measuredRuns += 1;
  const weight = Math.max(newWeight, 1 / (worker.measuredRuns + 1));
  worker.slowness += (bounded - worker.slowness) * weight;
};
