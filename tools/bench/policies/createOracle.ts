import type { BaselineWorker } from './BaselineWorker.js';
import { isFree } from './isFree.js';
import type { QueueRules } from './QueueRules.js';

/**
 * Knows true sizes, speeds and health. Shortest first, each on the worker that finishes it earliest;
 * with `mayWait` that may be a busy worker, for which the request then waits. Neither way is best
 * for every load: one that waits can be overtaken by shorter requests.
 */
export const createOracle = (mayWait: boolean): QueueRules => {
  // Times at which the slots of each worker become free, within one pass over the queue.
  const freeAt = new Map<BaselineWorker, number[]>();
  return {
    sortWaiting: (waiting) => {
      waiting.sort((a, b) => a.request.serviceMs - b.request.serviceMs);
    },
    beginPass: (workers, at) =>
      workers.forEach((worker) => {
        const free = new Array<number>(worker.spec.slots - worker.running.size).fill(at);
        freeAt.set(worker, [...free, ...worker.running.values()]);
      }),
    chooseWorker: (workers, { request }, at) => {
      const options = workers
        .filter((worker) => mayWait || isFree(worker))
        .filter(({ spec }) => spec.failsFrom === null || at < spec.failsFrom)
        .map((worker) => {
          const startAt = Math.min(...freeAt.get(worker)!);
          return { worker, startAt, endAt: startAt + request.serviceMs * worker.spec.slowness };
        });
      const [best] = options.sort((a, b) => a.endAt - b.endAt);
      if (!best) return null;
      const slots = freeAt.get(best.worker)!;
      slots[slots.indexOf(best.startAt)] = best.endAt;
      return best.startAt <= at ? best.worker : null;
    },
  };
};
