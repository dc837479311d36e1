/** Faults that a test can enable. */
export interface WorkerFaults {
  /** Every task fails as soon as it starts, and every short request is answered with 500. */
  failEverything: boolean;
  /** Divides the speed of all work. */
  slowFactor: number;
  /** Sent as `leaving` in lease answers. */
  leaving: boolean;
  /** Checkpoints do not end while this is set. */
  hangCheckpoint: boolean;
  /** Closes the connection after half of each short request's answer. */
  truncateAnswers: boolean;
  /** Closes the connection of each short request after reading it, without starting its work. */
  resetRequests: boolean;
  /** Delays the answers of the control interface; the calls take effect before the delay. */
  controlDelayMs: number;
}
