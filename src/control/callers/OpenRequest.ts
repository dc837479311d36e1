/** A request that waits for an append to the store, or for a read of what was appended. */
export interface OpenRequest {
  requestId: number;
  jobId: string;
  /** Monotonic time at which the caller stops waiting. */
  deadlineAt: number;
  /**
   * Journal offset of the stored cancellation of a job that this VM doesn't know; once it is read, it is certain
   * whether the job was submitted before. Null for other requests, and before the append is answered.
   */
  cancellationOffset: number | null;
}
