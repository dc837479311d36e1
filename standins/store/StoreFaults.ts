/** Faults that a test can enable. */
export interface StoreFaults {
  /** `refuse` answers every call with 503; `silent` ignores calls and leaves them unanswered. */
  outage: 'none' | 'refuse' | 'silent';
  /** Whether registry entries expire during an outage; otherwise their time stands still. */
  entriesExpire: boolean;
  /** Share of appends that are applied but not answered. */
  lostShare: number;
  /** Address whose reads of one topic are answered 429, or null. */
  refusedReads: { address: string; topic: string } | null;
  /** Delay before each answer. */
  delayMs: number;
}
