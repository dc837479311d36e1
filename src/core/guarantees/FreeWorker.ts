/** A worker while a plan is being built. */
export interface FreeWorker {
  workerId: string;
  rack: string;
  /** Accelerators that belong to no cell yet. */
  free: number;
}
