/** Writes lines without blocking its caller. */
export interface LineWriter {
  write: (line: string) => void;
  /** Calls back when all queued lines were written or have failed. */
  flush: (done: () => void) => void;
}
