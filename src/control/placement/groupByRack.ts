import type { Worker } from '../workers/Worker.js';

// Position of the rack in the worker's labels; the first label is the worker's kind.
const rackLabelIndex = 1;

/** Groups workers by their rack. */
export const groupByRack = (workers: readonly Worker[]): Map<string, Worker[]> => {
  const racks = new Map<string, Worker[]>();
  workers.forEach((worker) => {
    const rack = worker.entry?.labels[rackLabelIndex] ?? '';
    const group = racks.get(rack);
    if (group) group.push(worker);
    else racks.set(rack, [worker]);
  });
  return racks;
};
