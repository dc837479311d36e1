/** Capacity and use of one worker during a placement pass. */
export interface WorkerView {
  workerId: string;
  rack: string;
  accelerators: number;
  slots: number;
  /** Slots taken by short requests. */
  requestSlots: number;
  /** Accelerators in use by tasks or kept for a reclaiming job. */
  usedAccelerators: number;
  /** The same accelerators by workspace. */
  usedByWorkspace: ReadonlyMap<string, number>;
  /** Guaranteed accelerators by workspace. */
  guaranteedByWorkspace: ReadonlyMap<string, number>;
}
