import type { WorkerSpec } from '../requests/WorkerSpec.js';

/** State that a baseline policy keeps for one worker. */
export interface BaselineWorker {
  spec: WorkerSpec;
  /** End time of each running attempt, by attempt id; only the oracles read the times. */
  running: Map<string, number>;
  completed: number;
  /** Times of failed attempts, in order. */
  failedAt: number[];
}
