/** What a policy decides: an attempt starts on a worker, or a request is refused. */
export type Decision =
  | { type: 'start'; requestId: string; attempt: number; workerId: string }
  | { type: 'refuse'; requestId: string };
