/** Capacity of one worker during a placement pass. */
export interface WorkerView {
  workerId: string;
  rack: string;
  accelerators: number;
  slots: number;
  /** Slots taken by short requests. */
  requests: number;
  /** Accelerators in use by tasks or kept by a reclaim. */
  used: number;
  /** The same by workspace. */
  usedBy: ReadonlyMap<string, number>;
  /** Guaranteed accelerators by workspace. */
  cellsBy: ReadonlyMap<string, number>;
}
