import type { NodeId } from '../NodeId.js';

/** A submission whose answer waits until the zone's other schedulers have the job. */
export interface PendingSubmission {
  requestId: string;
  from: NodeId;
  jobId: string;
  /** Copy that contains the job. */
  sequence: number;
  /** Monotonic milliseconds. */
  deadlineAt: number;
}
