import type { Attempt } from '../requests/Attempt.js';
import type { BaselineWorker } from './BaselineWorker.js';

/** What distinguishes one baseline policy from another. */
export interface QueueRules {
  /** Sorts the waiting attempts in the order in which they are tried; absent for arrival order. */
  sortWaiting?: (waiting: Attempt[]) => void;
  /** Chooses a worker with a free slot for an attempt, or null to let it wait. */
  chooseWorker: (workers: BaselineWorker[], attempt: Attempt, at: number) => BaselineWorker | null;
  /** Called before each pass over the queue. */
  beginPass?: (workers: BaselineWorker[], at: number) => void;
}
