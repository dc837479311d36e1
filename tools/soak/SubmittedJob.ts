/** A job that the soak's clients have sent. */
export interface SubmittedJob {
  id: string;
  /** Status of the answer to each attempt; 0 where there was none. */
  statuses: number[];
  cancelled: boolean;
}
