/** A worker and its remaining capacity while a plan is being built. */
export interface CandidateWorker {
  workerId: string;
  rack: string;
  /** Accelerators that are not assigned to a cell yet. */
  freeAccelerators: number;
}
