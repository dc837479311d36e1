/** Accelerators of one worker that a gang may use. */
export interface WorkerCapacity {
  workerId: string;
  rack: string;
  /** Number of accelerators. */
  capacity: number;
}
