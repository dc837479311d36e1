/** Why an attempt, append or gang start was retried; one counter exists for each. */
export type RetryReason =
  | 'attempt-not-sent'
  | 'attempt-outcome-unknown'
  | 'grant-expired'
  | 'lead-changed'
  | 'gang-part-refused'
  | 'gang-part-late'
  | 'gang-part-lost'
  | 'append-failed'
  | 'append-answer-lost'
  | 'read-failed';
