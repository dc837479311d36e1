/** Why a worker refused a call. */
export type WorkerRefusal =
  | 'fenced'
  | 'old-run'
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'other-instance'
  | 'invalid'
  | 'unhealthy';
