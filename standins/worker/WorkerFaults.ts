/** Faults that a test can switch on. */
export interface WorkerFaults {
  /** Every task that starts fails at once, and every short request is answered 500. */
  failEverything: boolean;
  /** Divides the speed of all work. */
  slowFactor: number;
  /** Reported in lease answers. */
  leaving: boolean;
  /** Checkpoints do not end while this is set. */
  hangCheckpoint: boolean;
  /** Breaks the connection after half of each short request's answer. */
  truncateAnswers: boolean;
  /** Breaks the connection of each short request, once it has been read, without starting it. */
  resetRequests: boolean;
  /** Delays the answers of the control interface; the calls take effect before the delay. */
  controlDelayMs: number;
}
