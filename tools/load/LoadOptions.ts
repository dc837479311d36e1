/** Size and duration of a load run on a single daemon. */
export interface LoadOptions {
  workers: number;
  /** Jobs submitted per second. */
  jobRate: number;
  /** Mean number of tasks of a job. */
  jobWidth: number;
  /** Mean run time of a task in milliseconds. */
  runMs: number;
  /** Duration of the load in seconds. */
  seconds: number;
  seed: number;
  /** Flags of Node.js for the daemon, separated by spaces. */
  nodeFlags: string;
  /** Whether to take a CPU profile, which costs CPU time itself. */
  profile: boolean;
}
