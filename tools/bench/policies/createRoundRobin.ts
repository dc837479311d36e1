import type { QueueRules } from './QueueRules.js';
import { isFree } from './isFree.js';

/** Creates rules: arrival order; the next worker in rotation that has a free slot. */
export const createRoundRobin = (): QueueRules => {
  let next = 0;
  return {
    chooseWorker: (workers) => {
      const order = [...workers.slice(next), ...workers.slice(0, next)];
      const worker = order.find(isFree) ?? null;
      if (worker) next = (workers.indexOf(worker) + 1) % workers.length;
      return worker;
    },
  };
};
