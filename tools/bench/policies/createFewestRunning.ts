import type { BaselineWorker } from './BaselineWorker.js';
import { isFree } from './isFree.js';
import type { QueueRules } from './QueueRules.js';

const failurePeriodMs = 30_000;
// Delay before a worker is used again, for each of its failures in the previous period.
const reuseDelayPerFailureMs = 100;

const countFailures = (worker: BaselineWorker, period: number): number =>
  worker.failedAt.filter((at) => Math.floor(at / failurePeriodMs) === period).length;

const isUsable = (worker: BaselineWorker, at: number): boolean => {
  const period = Math.floor(at / failurePeriodMs);
  if (countFailures(worker, period) > 0) return false;
  return (
    at >= period * failurePeriodMs + countFailures(worker, period - 1) * reuseDelayPerFailureMs
  );
};

/**
 * Creates rules: arrival order; avoids workers that failed in the current 30 s period, then prefers
 * fewest running, then fewest completed. If every worker has failed, failures are ignored.
 */
export const createFewestRunning = (): QueueRules => ({
  chooseWorker: (workers, _attempt, at) => {
    const usable = workers.filter((worker) => isUsable(worker, at));
    const candidates = (usable.length > 0 ? usable : workers).filter(isFree);
    const [best] = candidates.sort(
      (a, b) => a.running.size - b.running.size || a.completed - b.completed,
    );
    return best ?? null;
  },
});
