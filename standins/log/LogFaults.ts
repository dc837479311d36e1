/** Faults that a test can switch on. */
export interface LogFaults {
  /** Answers 503 to everything but the fault controls. */
  outage: boolean;
  /** Delays every answer; an append takes effect before the delay. */
  delayMs: number;
  /** Number of coming appends that take effect but whose connection is broken. */
  loseAppendAnswers: number;
}
