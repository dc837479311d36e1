/** Gauge metrics of a daemon. */
export type GaugeName =
  | 'held_workers'
  | 'queued_requests'
  | 'open_requests'
  | 'open_grants'
  | 'running_jobs'
  | 'queued_jobs'
  | 'unplaced_guarantees'
  | 'unacknowledged_records'
  | 'settings_version';
