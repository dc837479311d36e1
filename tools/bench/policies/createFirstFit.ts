import type { QueueRules } from './QueueRules.js';
import { isFree } from './isFree.js';

/** Creates rules: arrival order; the first worker of the list that has a free slot. */
export const createFirstFit = (): QueueRules => ({
  chooseWorker: (workers) => workers.find(isFree) ?? null,
});
