/** Writes lines without ever blocking its caller. */
export interface LineWriter {
  write: (line: string) => void;
  /** Calls back when all lines are written, or could not be. */
  flush: (done: () => void) => void;
}
