/** A worker while a plan is being built. */
export interface CandidateWorker {
  workerId: string;
  rack: string;
  /** Accelerators that belong to no cell yet. */
  freeAccelerators: number;
}
