/** Errors while a request body is read, before the core knows of the request. */
export type CallerError =
  | { kind: 'bodyTooLarge'; limitBytes: number }
  /** The caller closed the connection. */
  | { kind: 'callerGone' };
