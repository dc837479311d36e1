/** Where log lines go; a test passes its own. */
export interface LogStreams {
  stdout: { write: (line: string) => unknown };
  stderr: { write: (line: string) => unknown };
}
