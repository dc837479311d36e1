/** Faults that a test can enable. */
export interface StoreFaults {
  /** `refuse` answers every call with 503; `silent` ignores calls and leaves them unanswered. */
  outage: 'none' | 'refuse' | 'silent';
  /** Share of appends that are applied but not answered. */
  lostShare: number;
  /** Delay before each answer. */
  delayMs: number;
}
