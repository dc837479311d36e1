/** A child process; signals go to its process id only. */
export interface ManagedProcess {
  name: string;
  pid: number;
  /** Resolves with the exit code, or with the name of the signal that ended the process. */
  exited: Promise<number | string>;
  /** Latest lines that the process wrote to stdout and stderr. */
  lines: string[];
  signal: (signal: NodeJS.Signals) => void;
}
