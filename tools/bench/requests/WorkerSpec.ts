/** A simulated worker, which serves `slots` requests at a time. */
export interface WorkerSpec {
  id: string;
  slots: number;
  /** Factor by which every service time is multiplied. */
  slowness: number;
  /** Attempts that start from this time on fail after 2 ms; null for a healthy worker. */
  failsFrom: number | null;
}
