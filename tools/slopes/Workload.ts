/** Events that are run and timed against a state of one size. */
export interface Workload {
  /** Number of operations in one run. */
  operations: number;
  /** Restores the state before each run; not timed. */
  prepare?: () => void;
  run: () => void;
}
