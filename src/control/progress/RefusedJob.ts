/** A job whose progress the store refused; it starts nothing until its progress is stored. */
export interface RefusedJob {
  /** How often its progress was refused in a row. */
  refusals: number;
  /** Monotonic time before which its progress is not written again. */
  retryAt: number;
  /** IDs of the workers whose ends aren't acknowledged meanwhile, because some may be ends of the job. */
  heldWorkerIds: Set<string>;
}
