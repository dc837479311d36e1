/** Capacity of one worker during a placement pass. */
export interface WorkerView {
  workerId: string;
  rack: string;
  accelerators: number;
  slots: number;
  /** Slots taken by short requests. */
  requestSlots: number;
  /** Accelerators in use by tasks or kept by a reclaim. */
  usedAccelerators: number;
  /** The same by workspace. */
  usedByWorkspace: ReadonlyMap<string, number>;
  /** Guaranteed accelerators by workspace. */
  guaranteedByWorkspace: ReadonlyMap<string, number>;
}
