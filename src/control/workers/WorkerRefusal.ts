/** Why a worker did not carry out an order. */
export type WorkerRefusal =
  | 'fenced'
  | 'old-run'
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'other-instance'
  | 'invalid'
  | 'unhealthy';
