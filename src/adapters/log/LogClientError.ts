/** Errors of the log client. */
export type LogClientError =
  /** The log provably did not take the request: no connection, or it answered that it is busy. */
  | { kind: 'notSent'; message: string }
  /** The request may have taken effect: the answer is missing, late or cannot be read. */
  | { kind: 'unknown'; message: string };
