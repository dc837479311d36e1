import { groupBy } from '../groupBy.js';
import type { Worker } from '../workers/Worker.js';

// Position of the rack in the worker's labels; the first label is the worker's kind.
const rackLabelIndex = 1;

/** Groups workers by their rack. */
export const groupByRack = (workers: readonly Worker[]): Map<string, Worker[]> =>
  groupBy(workers, ({ entry }) => entry?.labels[rackLabelIndex] ?? '');
