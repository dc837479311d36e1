import type { BaselineWorker } from './BaselineWorker.js';
import { isFree } from './isFree.js';
import type { QueueRules } from './QueueRules.js';

/**
 * Creates rules that know true service times, worker speeds and failures: shortest request first,
 * on the worker that finishes it earliest. With `mayWait` this can be a busy worker, for which the
 * request stays queued. Neither variant is best for every load: a request that waits for a busy
 * worker can be overtaken by shorter ones.
 */
export const createOracle = (mayWait: boolean): QueueRules => {
  // Time at which each slot becomes free, by worker; recomputed for each pass over the queue.
  const slotsFreeAt = new Map<BaselineWorker, number[]>();
  return {
    sortWaiting: (waiting) => {
      waiting.sort((a, b) => a.request.serviceMs - b.request.serviceMs);
    },
    beginPass: (workers, at) =>
      workers.forEach((worker) => {
        const free = new Array<number>(worker.spec.slots - worker.running.size).fill(at);
        slotsFreeAt.set(worker, [...free, ...worker.running.values()]);
      }),
    chooseWorker: (workers, { request }, at) => {
      const candidates = workers
        .filter((worker) => mayWait || isFree(worker))
        .filter(({ spec }) => spec.failsFrom === null || at < spec.failsFrom)
        .map((worker) => {
          const startAt = Math.min(...slotsFreeAt.get(worker)!);
          return { worker, startAt, endAt: startAt + request.serviceMs * worker.spec.slowness };
        });
      const [best] = candidates.sort((a, b) => a.endAt - b.endAt);
      if (!best) return null;
      const slots = slotsFreeAt.get(best.worker)!;
      slots[slots.indexOf(best.startAt)] = best.endAt;
      return best.startAt <= at ? best.worker : null;
    },
  };
};
