/** A request that waits for an append to the store. */
export interface OpenRequest {
  requestId: number;
  jobId: string;
  /** Monotonic time at which the caller stops waiting. */
  deadlineAt: number;
}
