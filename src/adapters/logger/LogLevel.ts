/** Severity of a log line, in ascending order. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
