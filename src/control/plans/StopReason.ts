/** Why the lead stops a run. */
export type StopReason =
  | 'cancelled'
  | 'job-ended'
  | 'preempted'
  | 'gang-incomplete'
  | 'start-unanswered'
  | 'worker-leaving'
  | 'no-progress'
  | 'unknown-run';
