/** State of one size and the events that are run against it. */
export interface Workload {
  /** Operations in one run. */
  operations: number;
  /** Restores the state before a run; not measured. */
  prepare?: () => void;
  run: () => void;
}
