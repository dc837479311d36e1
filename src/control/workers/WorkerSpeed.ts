/** What a term has learned about a worker's speed. */
export interface WorkerSpeed {
  workerId: string;
  /** Smoothed logarithm of run times over declared ones. */
  slowness: number;
  measuredRuns: number;
}
