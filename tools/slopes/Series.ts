import type { Workload } from './Workload.js';

/** The cost of an operation, measured at several sizes. */
export interface Series {
  /** What the sizes count. */
  axis: string;
  /** What one operation is. */
  operation: string;
  sizes: readonly number[];
  create: (size: number) => Workload;
}
