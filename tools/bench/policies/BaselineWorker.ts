import type { WorkerSpec } from '../requests/WorkerSpec.js';

/** What a baseline policy knows of one worker. */
export interface BaselineWorker {
  spec: WorkerSpec;
  /** End time of each running attempt by id; only the bound reads the times. */
  running: Map<string, number>;
  completed: number;
  /** Times of failed attempts, in order. */
  failedAt: number[];
}
