/** Why the leader stops a run. */
export type StopReason =
  | 'cancelled'
  | 'job-ended'
  | 'preempted'
  | 'gang-incomplete'
  | 'start-unanswered'
  | 'no-progress'
  | 'unknown-run';
