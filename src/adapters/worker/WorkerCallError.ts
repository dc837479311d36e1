/** Errors of a control call to a worker; the call may have taken effect. */
export type WorkerCallError =
  { kind: 'failed'; message: string } | { kind: 'badAnswer'; message: string };
