/** Faults that a test can switch on. */
export interface StoreFaults {
  /** Refuses every call with 503, or leaves it without an answer; a silent store does nothing. */
  outage: 'none' | 'refuse' | 'silent';
  /** Share of the appends that are done and not answered. */
  lostShare: number;
  /** Time before each answer. */
  delayMs: number;
}
