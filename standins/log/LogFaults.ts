/** Faults that a test can enable. */
export interface LogFaults {
  /** Answers every call except fault control with 503. */
  outage: boolean;
  /** Delays every answer; an append is stored before the delay. */
  delayMs: number;
  /** Number of coming appends that are stored, but whose connection is closed without an answer. */
  loseAppendAnswers: number;
}
