import type { BaselineWorker } from './BaselineWorker.js';

/** Whether a worker has a free slot. */
export const isFree = ({ spec, running }: BaselineWorker): boolean => running.size < spec.slots;
