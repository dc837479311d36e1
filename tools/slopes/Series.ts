import type { Subject } from './Subject.js';

/** One cost measured against one size. */
export interface Series {
  /** What the sizes count. */
  axis: string;
  /** What one operation is. */
  operation: string;
  sizes: readonly number[];
  create: (size: number) => Subject;
}
