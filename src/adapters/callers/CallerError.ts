/** Errors of a caller's connection before its request reaches the core. */
export type CallerError = { kind: 'bodyTooLarge'; limitBytes: number } | { kind: 'callerGone' };
