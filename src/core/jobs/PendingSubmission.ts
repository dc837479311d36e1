import type { NodeId } from '../NodeId.js';

/** A submission that is answered once the zone's other schedulers have a copy of the job. */
export interface PendingSubmission {
  requestId: string;
  /** Gateway that receives the answer. */
  from: NodeId;
  jobId: string;
  /** Sequence number of the copy that contains the job. */
  sequence: number;
  /** Monotonic milliseconds after which the submission is refused. */
  deadlineAt: number;
}
