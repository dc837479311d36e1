/**
 * Why a worker refused a call. `fenced`: it has seen a higher token; `old-run`: this run or a later
 * one of the task has ended there; `late`: the start has expired; `other-instance`: another worker is at
 * the address.
 */
export type WorkerRefusal =
  | 'fenced'
  | 'old-run'
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'other-instance'
  | 'invalid'
  | 'unhealthy';
