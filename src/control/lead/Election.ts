/** State of this VM's attempt to become the lead. */
export interface Election {
  phase: 'idle' | 'reading' | 'claiming';
  /** Open call to the store. */
  pendingCallId: number;
  /** Monotonic time before which no new attempt starts. */
  backoffUntil: number;
  /** Token of the last term that this process led, or 0. */
  lastOwnToken: number;
}
