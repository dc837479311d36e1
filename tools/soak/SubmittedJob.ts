/** A job that the clients of the soak test have submitted. */
export interface SubmittedJob {
  id: string;
  /** Whether its client tries for as long as faults can last, gives up soon, or cancels before the first answer. */
  client: 'patient' | 'impatient' | 'leaving';
  /** HTTP status of each attempt; 0 for an attempt without an answer. */
  statuses: number[];
  /** Whether a client has sent a cancellation. */
  cancelled: boolean;
  /** The final answer to its cancellation with its monotonic time, or null. */
  cancelAnswer: { at: number; status: number; vmId: string } | null;
}
