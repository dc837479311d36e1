/** Errors of the client of the log service. */
export type LogClientError =
  /** The request has not taken effect: no connection was made, or the service responded as busy. */
  | { kind: 'notSent'; message: string }
  /** The request may have taken effect: the response is missing, late or unreadable. */
  | { kind: 'unknown'; message: string };
