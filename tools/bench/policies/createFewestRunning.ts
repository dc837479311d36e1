import type { BaselineWorker } from './BaselineWorker.js';
import { isFree } from './isFree.js';
import type { QueueRules } from './QueueRules.js';

const periodMs = 30_000;
// Each failure of the last period delays the reuse of a worker by one hold tick.
const holdTickMs = 100;

const countFailures = (worker: BaselineWorker, period: number): number =>
  worker.failedAt.filter((at) => Math.floor(at / periodMs) === period).length;

const isUsable = (worker: BaselineWorker, at: number): boolean => {
  const period = Math.floor(at / periodMs);
  if (countFailures(worker, period) > 0) return false;
  return at >= period * periodMs + countFailures(worker, period - 1) * holdTickMs;
};

/**
 * Arrival order; workers that failed in the present 30 s period are avoided, then fewest running,
 * then fewest completed. If every worker has failed, the failure rules are waived.
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
