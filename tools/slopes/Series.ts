import type { Workload } from './Workload.js';

/** One cost measured against one size. */
export interface Series {
  /** What the sizes count. */
  axis: string;
  /** What one operation is. */
  operation: string;
  sizes: readonly number[];
  create: (size: number) => Workload;
}
