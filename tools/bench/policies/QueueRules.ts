import type { Attempt } from '../requests/Attempt.js';
import type { BaselineWorker } from './BaselineWorker.js';

/** Queue order and choice of workers of a baseline policy. */
export interface QueueRules {
  /** Sorts the waiting attempts into the order of placement; absent for arrival order. */
  sortWaiting?: (waiting: Attempt[]) => void;
  /** Chooses a worker with a free slot for an attempt; null leaves the attempt in the queue. */
  chooseWorker: (workers: BaselineWorker[], attempt: Attempt, at: number) => BaselineWorker | null;
  /** Called before each pass over the queue. */
  beginPass?: (workers: BaselineWorker[], at: number) => void;
}
