/** A child process of the harness; stopped only through its own process id. */
export interface ManagedProcess {
  name: string;
  pid: number;
  /** Resolves with the exit code, or the signal's name. */
  exited: Promise<number | string>;
  /** Lines written so far. */
  lines: string[];
  signal: (signal: NodeJS.Signals) => void;
}
