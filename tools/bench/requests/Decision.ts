/** Decision of a policy: start an attempt on a worker, or refuse a request. */
export type Decision =
  | { type: 'start'; requestId: string; attempt: number; workerId: string }
  | { type: 'refuse'; requestId: string };
